package pomelomesh_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// A router that starts while the store is unavailable knows only addresses. Its message must reach the router that
// listens there, and the reply must return over the same link although neither router has the other on its peer list.
func TestContactReachesRouterByAddress(t *testing.T) {
	a, b := start(t, config("r1", 11)), start(t, config("r2", 22))
	if err := a.SendToAddr(b.Addr(), &pomelorelay.StateAsk{Above: 3}); err != nil {
		t.Fatal(err)
	}
	e := receive(t, b)
	if ask, ok := e.Message.(*pomelorelay.StateAsk); !ok || ask.Above != 3 || e.From != "r1" || e.Domain != "a" || e.Region != "north" {
		t.Fatalf("received %+v", e)
	}
	send(t, b, "r1", &pomelorelay.FleetState{Revision: 9})
	if e := receive(t, a); e.From != "r2" || e.Message.(*pomelorelay.FleetState).Revision != 9 {
		t.Errorf("received %+v", e)
	}
}

// Seed addresses may be unreachable or the router's own. A failed contact must not leave a link or a goroutine, because
// a router contacts the seeds repeatedly while the store is unavailable.
func TestFailedContactsLeaveNoLinks(t *testing.T) {
	a := start(t, config("r1", 11))
	for _, addr := range []netip.AddrPort{pomelofake.FreeAddr(), a.Addr()} {
		for range 3 {
			if err := a.SendToAddr(addr, &pomelorelay.StateAsk{}); err != nil {
				t.Fatal(err)
			}
		}
	}
	select {
	case e := <-a.Receive():
		t.Errorf("router received its own message: %+v", e)
	case <-time.After(300 * time.Millisecond):
	}
	eventually(t, "no link is left", func() bool { return a.Counters().Links == 0 })
}
