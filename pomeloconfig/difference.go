package pomeloconfig

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/pomelorelay/pomelorelay"
)

// ChangeKind tells what became of an entry.
type ChangeKind string

// The kinds of change.
const (
	ChangeAdded   ChangeKind = "Added"
	ChangeRemoved ChangeKind = "Removed"
	ChangeAltered ChangeKind = "Altered"
)

// EntryChange is one entry that differs between two configurations.
type EntryChange struct {
	// Entry is the entry's kind and name, as in Account/anna.
	Entry  string
	Change ChangeKind
	// Fields are the altered ones.
	Fields []FieldChange `json:",omitempty"`
}

// FieldChange is one field's values, as JSON.
type FieldChange struct {
	Field  string
	Before json.RawMessage `json:",omitempty"`
	After  json.RawMessage `json:",omitempty"`
}

// String returns the change in one line.
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

// maxSummaryLines keeps a root that replaces everything under the store's value limit; the parts hold the rest.
const (
	maxSummaryLines     = 50
	maxSummaryLineBytes = 300
)

// DifferenceSummary counts what changed between two generations and shows the first changes.
type DifferenceSummary struct {
	Added, Removed, Altered int
	Lines                   []string `json:",omitempty"`
}

// Summarise sums up changes.
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

// Difference returns the entries that differ, in the order of kinds and names.
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

// evacuation stands for a failure domain under evacuation in a difference.
type evacuation struct{ Domain pomelorelay.DomainID }

// entries returns the entries by kind and name.
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

// fields returns an entry's fields as JSON; the entry types have none that JSON cannot hold once they were checked.
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
