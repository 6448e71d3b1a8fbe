package pomelomesh_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// A router that starts without the store knows addresses only. What it sends reaches whoever listens there, and the answer comes back over
// the same link, though neither lists the other.
func TestARouterIsReachedByItsAddressAlone(t *testing.T) {
	a, b := start(t, config("r1", 11)), start(t, config("r2", 22))
	if err := a.SendToAddr(b.Addr(), &pomelorelay.StateAsk{Above: 3}); err != nil {
		t.Fatal(err)
	}
	e := receive(t, b)
	if ask, ok := e.Message.(*pomelorelay.StateAsk); !ok || ask.Above != 3 || e.From != "r1" || e.Domain != "a" || e.Region != "north" {
		t.Fatalf("%+v", e)
	}
	send(t, b, "r1", &pomelorelay.FleetState{Revision: 9})
	if e := receive(t, a); e.From != "r2" || e.Message.(*pomelorelay.FleetState).Revision != 9 {
		t.Errorf("%+v", e)
	}
}

// Seeds may be gone or be the router itself. Neither may keep a link or a goroutine: a router asks again and again while the store is away.
func TestContactsThatFailLeaveNothingBehind(t *testing.T) {
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
		t.Errorf("the router got its own message: %+v", e)
	case <-time.After(300 * time.Millisecond):
	}
	eventually(t, "no link is left", func() bool { return a.Counters().Links == 0 })
}
