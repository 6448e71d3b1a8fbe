package pomeloentry

import "github.com/pomelorelay/pomelorelay"

// logEntryErrors logs the entries of the store that cannot be used. Writers repeat their entries, and reads may return them again: an entry is logged
// once until its error changes or it can be used.
func (c *control) logEntryErrors(change *pomelorelay.FleetChange) {
	before := c.entryErrors
	if change.Full {
		c.entryErrors = make(map[string]string, len(change.EntryErrors))
	}
	for _, key := range change.ValidEntries {
		delete(c.entryErrors, key)
	}
	for _, e := range change.EntryErrors {
		text := e.Err.Error()
		if before[e.Key] != text {
			c.e.log(pomelorelay.EventUpstreamBadEntry, field("Code", int(pomelorelay.CodeOf(e.Err))), field("Fault", text))
		}
		c.entryErrors[e.Key] = text
	}
}
