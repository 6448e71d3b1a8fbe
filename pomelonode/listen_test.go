package pomelonode_test

import (
	"testing"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelonode"
)

func TestFailedListenDoesNotLogStart(t *testing.T) {
	// Another process, often the previous process of the same router, uses the caller port. If EventStarted were logged nevertheless,
	// operators who count starts by this event would count a router that does not listen.
	f := newFleet(t, 1)
	f.awaitReady()
	first := f.routers[0]
	if first.log.count(pomelorelay.EventStarted) != 1 {
		t.Errorf("a listening router logged EventStarted %d times, want 1", first.log.count(pomelorelay.EventStarted))
	}
	s := f.settings(1)
	s.Listen.Caller = first.settings.Listen.Caller
	log := &eventLog{}
	node, err := pomelonode.New(pomelonode.Config{Settings: s, Logger: log})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	if err := node.Listen(); !pomelorelay.IsErrCode(err, pomelorelay.CodeCannotListen) {
		t.Errorf("Listen failed with %v, want CodeCannotListen", err)
	}
	if n := log.count(pomelorelay.EventStarted); n != 0 {
		t.Errorf("a router that cannot listen logged EventStarted %d times, want 0", n)
	}
}
