package pomelorelay

// Events of the benchmark tool and its stand-in servers, 1100 to 1199.
const (
	EventStandInStarted EventID = 1100
	EventStandInStopped EventID = 1101
)

var benchEvents = []EventInfo{
	{EventStandInStarted, "StandInStarted", LevelInfo, "A stand-in listens.", "None."},
	{EventStandInStopped, "StandInStopped", LevelInfo, "The process of stand-ins was told to end.", "None."},
}
