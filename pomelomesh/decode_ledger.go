package pomelomesh

import (
	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomesh/pomelowire"
)

func (d *decoder) ledgerReport(m *pomelowire.LedgerReport) pomelorelay.Message {
	r := &pomelorelay.LedgerReport{Shard: pomelorelay.ShardID(m.GetShard()), Seq: m.GetSeq(), Full: m.GetFull(), Entries: d.entries(m.GetEntries(), m.GetNames()), Round: m.GetRound()}
	r.Interest = make([]pomelorelay.LedgerKey, d.listLength(len(m.GetInterest()), maxListLength))
	for i := range r.Interest {
		key := m.GetInterest()[i]
		r.Interest[i] = pomelorelay.LedgerKey{Pool: pomelorelay.PoolID(d.nameAt(m.GetNames(), key.GetPool())), Account: pomelorelay.AccountID(d.name(key.GetAccount()))}
	}
	return r
}

func (d *decoder) ledgerTotals(m *pomelowire.LedgerTotals) pomelorelay.Message {
	return &pomelorelay.LedgerTotals{
		Shard: pomelorelay.ShardID(m.GetShard()), Ready: m.GetReady(), Entries: d.entries(m.GetEntries(), m.GetNames()), Seq: m.GetSeq(),
	}
}

func (d *decoder) entries(encoded []*pomelowire.LedgerEntry, names []string) []pomelorelay.LedgerEntry {
	entries := make([]pomelorelay.LedgerEntry, d.listLength(len(encoded), maxListLength))
	for i := range entries {
		e := encoded[i]
		entries[i] = pomelorelay.LedgerEntry{
			Pool: pomelorelay.PoolID(d.nameAt(names, e.GetPool())), Account: pomelorelay.AccountID(d.name(e.GetAccount())),
			Served: d.cost(e.GetServed()), Lift: d.tag(e.GetLift()), Waiting: e.GetWaiting(),
		}
	}
	return entries
}

func (d *decoder) ledgerComponent(m *pomelowire.LedgerComponent) pomelorelay.Message {
	c := &pomelorelay.LedgerComponent{Shard: pomelorelay.ShardID(m.GetShard()), Domain: pomelorelay.DomainID(d.name(m.GetDomain())), Full: m.GetFull()}
	c.Entries = make([]pomelorelay.LedgerComponentEntry, d.listLength(len(m.GetEntries()), maxListLength))
	for i := range c.Entries {
		e := m.GetEntries()[i]
		c.Entries[i] = pomelorelay.LedgerComponentEntry{
			Pool: pomelorelay.PoolID(d.nameAt(m.GetNames(), e.GetPool())), Account: pomelorelay.AccountID(d.name(e.GetAccount())),
			Served: d.cost(e.GetSum()), Departed: d.cost(e.GetDeparted()), Lift: d.tag(e.GetLift()), Waiting: e.GetWaiting(),
		}
	}
	return c
}
