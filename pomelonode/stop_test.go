package pomelonode_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
)

func TestWholeFleetStops(t *testing.T) {
	// All hosts are taken away at the same moment, right after bookings were answered whose settlements still wait for their
	// write. With nobody left to take them, every stop would last until its time limit, and the claims would stay open.
	f := newFleet(t, 4)
	f.awaitReady()
	f.atOnce(40, func(i int) {
		key := fmt.Sprintf("last-%d", i)
		if got := f.routers[i%4].call(http.MethodPost, "/booking/jobs", key, `{"piece":"ring"}`); got.status != http.StatusOK {
			t.Errorf("booking %s was answered %d: %s", key, got.status, got.body)
		}
	})
	f.atOnce(len(f.routers), func(i int) {
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		if err := f.routers[i].node.Stop(ctx); err != nil {
			t.Errorf("router %d: the stop failed: %v", i, err)
		}
	})
}
