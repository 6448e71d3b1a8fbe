package pomelonode_test

import (
	"testing"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelonode"
)

func TestRouterThatCannotListenDoesNotSayThatItStarted(t *testing.T) {
	// Something else holds the callers' port, often the router's own former process. Operators that count starts by event 100
	// would see a router that listens.
	f := newFleet(t, 1)
	f.awaitReady()
	first := f.routers[0]
	if first.log.count(pomelorelay.EventStarted) != 1 {
		t.Errorf("a router that listens said so %d times", first.log.count(pomelorelay.EventStarted))
	}
	s := f.settings(1)
	s.Listen.Caller = first.settings.Listen.Caller
	log := &eventLog{}
	node, err := pomelonode.New(pomelonode.Config{Settings: s, Logger: log})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	if err := node.Listen(); !pomelorelay.IsErrCode(err, pomelorelay.CodeListen) {
		t.Errorf("listening failed with %v", err)
	}
	if n := log.count(pomelorelay.EventStarted); n != 0 {
		t.Errorf("a router that cannot listen said %d times that it does", n)
	}
}
