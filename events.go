package pomelorelay

// EventID is the number of a log event; docs/EVENTS.md lists them all.
type EventID int

// Level is the severity of an event.
type Level string

// Values of Level, least severe first.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// EventInfo describes a log event, both for the table in the documentation and for log lines.
type EventInfo struct {
	ID      EventID
	Name    string
	Level   Level
	Meaning string
	Action  string
}

// Field is a key and value of a log line.
type Field struct {
	Key   string
	Value any
}

// Logger writes log events without blocking its caller.
type Logger interface {
	// Log writes an event with the given fields.
	Log(id EventID, fields ...Field)
}

// NopLogger is a Logger that discards all events.
type NopLogger struct{}

// Log discards the event.
func (NopLogger) Log(EventID, ...Field) {}

// Events returns all log events in ascending order.
func Events() []EventInfo {
	tables := [][]EventInfo{nodeEvents, fairEvents, memberEvents, ledgerEvents, routeEvents, claimEvents, quarantineEvents, configEvents, storeEvents, meshEvents, benchEvents}
	var all []EventInfo
	for _, table := range tables {
		all = append(all, table...)
	}
	return all
}

// Info returns the description of the event; an undefined event is described as Unknown, at LevelError.
func (id EventID) Info() EventInfo {
	if info, ok := eventIndex[id]; ok {
		return info
	}
	return EventInfo{ID: id, Name: "Unknown", Level: LevelError}
}

var eventIndex = indexEvents()

func indexEvents() map[EventID]EventInfo {
	index := make(map[EventID]EventInfo)
	for _, info := range Events() {
		index[info.ID] = info
	}
	return index
}
