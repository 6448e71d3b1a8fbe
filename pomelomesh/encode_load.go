package pomelomesh

import (
	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelomesh/pomelowire"
)

func encodeLoad(m *pomelorelay.LoadReport) *pomelowire.LoadReport {
	w := &pomelowire.LoadReport{Seq: m.Seq, Whole: m.Whole}
	for _, u := range m.Upstreams {
		w.Upstreams = append(w.Upstreams, &pomelowire.UpstreamLoad{
			Upstream: string(u.Upstream), Running: u.Running, Unread: int64(u.Unread), Held: int64(u.Held), Sent: int64(u.Sent),
		})
	}
	for _, a := range m.Accounts {
		w.Accounts = append(w.Accounts, &pomelowire.AccountUse{Account: string(a.Account), Asked: uint64(a.Asked), Served: uint64(a.Served)})
	}
	for _, p := range m.Parts {
		w.Parts = append(w.Parts, &pomelowire.PartPlaced{Upstream: string(p.Upstream), Hash: p.Hash, Tokens: int64(p.Tokens)})
	}
	for _, id := range m.Leaving {
		w.Leaving = append(w.Leaving, string(id))
	}
	return w
}
