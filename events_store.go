package pomelorelay

// Events of the platform's store, 900 to 999.
const (
	EventStoreBreakerOpen   EventID = 900
	EventStoreBreakerClosed EventID = 901
)

var storeEvents = []EventInfo{
	{EventStoreBreakerOpen, "StoreBreakerOpen", LevelWarn, "The platform's store failed several calls in a row; calls to it now fail at once.", "Check the store. Work that may be repeated goes on."},
	{EventStoreBreakerClosed, "StoreBreakerClosed", LevelInfo, "The platform's store answers again.", "None."},
}
