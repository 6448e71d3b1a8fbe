package pomeloentry

import (
	"context"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

const (
	// registrationTTL is how long a router's entry outlives its last renewal; its peers close nothing before their links break.
	registrationTTL = 6 * time.Second
	// renewEvery is the interval of renewals, a third of the time to live.
	renewEvery = 2 * time.Second
	// leaveWait bounds the call that ends the registration at a planned stop.
	leaveWait = 500 * time.Millisecond
)

// peers are the registered routers.
type peers struct {
	present map[pomelorelay.NodeID]pomelorelay.Peer
}

func newPeers() peers { return peers{present: make(map[pomelorelay.NodeID]pomelorelay.Peer)} }

func (e *Entry) watchPeers(ctx context.Context) {
	w := &e.peersWatch
	e.follow(ctx, followed{name: "routers", call: func() error {
		ctx, after := w.begin(ctx)
		change, err := e.cfg.Platform.WatchPeers(ctx, after, watchWait)
		if err != nil {
			return err
		}
		if w.reached(change.At) && change.Whole {
			e.dropped(w)
		}
		e.post(&peersArrived{change})
		return nil
	}})
}

// peersArrived is posted when the store told of routers.
type peersArrived struct{ change pomelorelay.PeerChange }

func (a *peersArrived) apply(c *control, _ time.Time) {
	if a.change.Whole {
		clear(c.peers.present)
	}
	for _, p := range a.change.Present {
		if p.Node != c.e.cfg.Settings.Self.Node {
			c.peers.present[p.Node] = p
		}
	}
	for _, node := range a.change.Gone {
		delete(c.peers.present, node)
	}
	list := make([]pomelorelay.Peer, 0, len(c.peers.present))
	for _, p := range c.peers.present {
		list = append(list, p)
	}
	c.e.mesh.SetPeers(list)
	c.e.log(pomelorelay.EventPeersChanged, field("Peers", len(list)))
}

// keepRegistered keeps this router's entry in the store, so that the others find it.
func (e *Entry) keepRegistered(ctx context.Context) {
	var lease pomelorelay.LeaseID
	e.follow(ctx, followed{name: "registration", pace: renewEvery, call: func() error {
		if lease == 0 {
			opened, err := e.cfg.Platform.Announce(ctx, e.cfg.Settings.Self, registrationTTL)
			if err == nil {
				lease = opened
			}
			return err
		}
		err := e.cfg.Platform.RenewLease(ctx, lease)
		if pomelorelay.IsErrCode(err, pomelorelay.CodeStoreLeaseLapsed) {
			lease = 0
		}
		return err
	}})
	if lease == 0 {
		return
	}
	// ctx has ended; the entry would lapse by itself, a little later.
	left, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveWait)
	defer cancel()
	if err := e.cfg.Platform.CloseLease(left, lease); err != nil {
		e.log(pomelorelay.EventPlatformLost, field("What", "registration"), field("Fault", err.Error()))
	}
}
