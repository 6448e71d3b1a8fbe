package pomeloconfig

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/pomelorelay/pomelorelay"
)

// ChangeKind is how an entry of the configuration changed.
type ChangeKind string

// Values of ChangeKind.
const (
	ChangeAdded   ChangeKind = "Added"
	ChangeRemoved ChangeKind = "Removed"
	ChangeAltered ChangeKind = "Altered"
)

// EntryChange is one entry that differs between two configurations.
type EntryChange struct {
	// Entry is the entry's kind and name, such as Account/anna.
	Entry  string
	Change ChangeKind
	// Fields lists the altered fields.
	Fields []FieldChange `json:",omitempty"`
}

// FieldChange is one field's values before and after the change, as JSON.
type FieldChange struct {
	Field  string
	Before json.RawMessage `json:",omitempty"`
	After  json.RawMessage `json:",omitempty"`
}

// String formats the change as one line.
func (e EntryChange) String() string {
	text := string(e.Change) + " " + e.Entry
	for _, f := range e.Fields {
		text += fmt.Sprintf(" %s: %s -> %s", f.Field, orNone(f.Before), orNone(f.After))
	}
	return text
}

func orNone(value json.RawMessage) string {
	if len(value) == 0 {
		return "none"
	}
	return string(value)
}

// These limits keep a root below the store's value limit even if every entry of the configuration changed. The full change can be
// computed from the parts.
const (
	maxSummaryLines     = 50
	maxSummaryLineBytes = 300
)

// DifferenceSummary counts the entries that changed between two generations and describes the first of them.
type DifferenceSummary struct {
	Added, Removed, Altered int
	Lines                   []string `json:",omitempty"`
}

// Summarise counts the changes by kind and formats the first of them.
func Summarise(changes []EntryChange) DifferenceSummary {
	var s DifferenceSummary
	for _, change := range changes {
		switch change.Change {
		case ChangeAdded:
			s.Added++
		case ChangeRemoved:
			s.Removed++
		case ChangeAltered:
			s.Altered++
		}
		if len(s.Lines) < maxSummaryLines {
			line := change.String()
			s.Lines = append(s.Lines, line[:min(len(line), maxSummaryLineBytes)])
		}
	}
	return s
}

// Difference returns the entries that differ between two configurations, sorted by kind and name.
func Difference(before, after Configuration) []EntryChange {
	oldEntries, newEntries := before.entries(), after.entries()
	names := make(map[string]bool, len(newEntries))
	for name := range oldEntries {
		names[name] = true
	}
	for name := range newEntries {
		names[name] = true
	}
	var changes []EntryChange
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if change, ok := compare(name, oldEntries[name], newEntries[name]); ok {
			changes = append(changes, change)
		}
	}
	return changes
}

// evacuation is the entry of a failure domain under evacuation.
type evacuation struct{ Domain pomelorelay.DomainID }

// entries returns the entries, keyed by kind and name.
func (c Configuration) entries() map[string]any {
	entries := make(map[string]any, len(c.Accounts)+len(c.Upstreams)+len(c.Services)+len(c.Regions)+len(c.Teams))
	for _, e := range c.Teams {
		entries["Team/"+e.Name] = e
	}
	for _, e := range c.Regions {
		entries["Region/"+string(e.Name)] = e
	}
	for _, e := range c.Services {
		entries["Service/"+string(e.Name)] = e
	}
	for _, e := range c.Upstreams {
		entries["Upstream/"+string(e.Name)] = e
	}
	for _, e := range c.Accounts {
		entries["Account/"+string(e.Name)] = e
	}
	for _, domain := range c.Evacuated {
		entries["Evacuated/"+string(domain)] = evacuation{Domain: domain}
	}
	return entries
}

func compare(name string, before, after any) (EntryChange, bool) {
	switch {
	case before == nil:
		return EntryChange{Entry: name, Change: ChangeAdded}, true
	case after == nil:
		return EntryChange{Entry: name, Change: ChangeRemoved}, true
	case reflect.DeepEqual(before, after):
		return EntryChange{}, false
	}
	return EntryChange{Entry: name, Change: ChangeAltered, Fields: fieldChanges(before, after)}, true
}

func fieldChanges(before, after any) []FieldChange {
	oldFields, newFields := fields(before), fields(after)
	names := maps.Clone(oldFields)
	maps.Copy(names, newFields)
	var changes []FieldChange
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if string(oldFields[name]) != string(newFields[name]) {
			changes = append(changes, FieldChange{Field: name, Before: oldFields[name], After: newFields[name]})
		}
	}
	return changes
}

// fields returns an entry's fields as JSON; those of a valid entry can always be encoded.
func fields(entry any) map[string]json.RawMessage {
	byName := make(map[string]json.RawMessage)
	data, err := json.Marshal(entry)
	if err != nil {
		return byName
	}
	if err := json.Unmarshal(data, &byName); err != nil {
		return map[string]json.RawMessage{}
	}
	return byName
}
