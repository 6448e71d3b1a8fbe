package pomelomesh

import (
	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomesh/pomelowire"
)

// nameTable assigns indexes to names in the order of first use, so that a message contains each name once.
type nameTable struct {
	list    []string
	indexes map[string]uint32
}

func (t *nameTable) index(name string) uint32 {
	if n, ok := t.indexes[name]; ok {
		return n
	}
	if t.indexes == nil {
		t.indexes = make(map[string]uint32)
	}
	n := uint32(len(t.list))
	t.indexes[name] = n
	t.list = append(t.list, name)
	return n
}

func encodeLedger(m pomelorelay.Message) *pomelowire.Item {
	switch m := m.(type) {
	case *pomelorelay.LedgerReport:
		return &pomelowire.Item{Kind: &pomelowire.Item_LedgerReport{LedgerReport: encodeReport(m)}}
	case *pomelorelay.LedgerTotals:
		var names nameTable
		t := &pomelowire.LedgerTotals{Shard: uint32(m.Shard), Ready: m.Ready, Entries: encodeEntries(m.Entries, &names), Seq: m.Seq}
		t.Names = names.list
		return &pomelowire.Item{Kind: &pomelowire.Item_LedgerTotals{LedgerTotals: t}}
	case *pomelorelay.LedgerQuery:
		return &pomelowire.Item{Kind: &pomelowire.Item_LedgerQuery{LedgerQuery: &pomelowire.LedgerQuery{Shard: uint32(m.Shard), Round: m.Round}}}
	case *pomelorelay.LedgerComponent:
		return &pomelowire.Item{Kind: &pomelowire.Item_LedgerComponent{LedgerComponent: encodeComponent(m)}}
	case *pomelorelay.LedgerComponentQuery:
		return &pomelowire.Item{Kind: &pomelowire.Item_LedgerComponentQuery{LedgerComponentQuery: &pomelowire.LedgerComponentQuery{Shard: uint32(m.Shard)}}}
	}
	return nil
}

func encodeReport(m *pomelorelay.LedgerReport) *pomelowire.LedgerReport {
	var names nameTable
	r := &pomelowire.LedgerReport{Shard: uint32(m.Shard), Seq: m.Seq, Full: m.Full, Entries: encodeEntries(m.Entries, &names), Round: m.Round}
	for _, key := range m.Interest {
		r.Interest = append(r.Interest, &pomelowire.LedgerKey{Pool: names.index(string(key.Pool)), Account: string(key.Account)})
	}
	r.Names = names.list
	return r
}

func encodeEntries(entries []pomelorelay.LedgerEntry, names *nameTable) []*pomelowire.LedgerEntry {
	encoded := make([]*pomelowire.LedgerEntry, len(entries))
	for i, e := range entries {
		encoded[i] = &pomelowire.LedgerEntry{
			Pool: names.index(string(e.Pool)), Account: string(e.Account), Served: float64(e.Served), Lift: float64(e.Lift), Waiting: e.Waiting,
		}
	}
	return encoded
}

func encodeComponent(m *pomelorelay.LedgerComponent) *pomelowire.LedgerComponent {
	var names nameTable
	c := &pomelowire.LedgerComponent{Shard: uint32(m.Shard), Domain: string(m.Domain), Full: m.Full}
	for _, e := range m.Entries {
		c.Entries = append(c.Entries, &pomelowire.LedgerComponentEntry{
			Pool: names.index(string(e.Pool)), Account: string(e.Account), Sum: float64(e.Served), Departed: float64(e.Departed), Lift: float64(e.Lift), Waiting: e.Waiting,
		})
	}
	c.Names = names.list
	return c
}
