package pomelorelay

// EventID numbers a log line's kind; docs/EVENTS.md is the catalogue.
type EventID int

// Level is the severity of an event.
type Level string

// The levels of events.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// EventInfo describes an event for the catalogue.
type EventInfo struct {
	ID      EventID
	Name    string
	Level   Level
	Meaning string
	Action  string
}

// Field is one named value of a log line.
type Field struct {
	Key   string
	Value any
}

// Logger writes numbered events; it never blocks its caller.
type Logger interface {
	// Log writes an event with its fields.
	Log(id EventID, fields ...Field)
}

// NopLogger drops every event.
type NopLogger struct{}

// Log does nothing.
func (NopLogger) Log(EventID, ...Field) {}

// Events returns every event in rising order.
func Events() []EventInfo {
	tables := [][]EventInfo{nodeEvents, fairEvents, memberEvents, ledgerEvents, routeEvents, claimEvents, quarantineEvents, configEvents, storeEvents, meshEvents, benchEvents}
	var all []EventInfo
	for _, table := range tables {
		all = append(all, table...)
	}
	return all
}

// Info returns the event's row of the catalogue, or one that says unknown.
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
