package pomelonode_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
)

func TestAllRoutersCanStopAtOnce(t *testing.T) {
	// All routers stop at the same time, right after they answered bookings whose outcomes are not yet stored. If no router accepted the
	// outcomes, every stop would reach its time limit and the claims on the bookings' idempotency keys would stay open.
	f := newFleet(t, 4)
	f.awaitReady()
	f.concurrently(40, func(i int) {
		key := fmt.Sprintf("last-%d", i)
		if got := f.routers[i%4].call(http.MethodPost, "/booking/jobs", key, `{"piece":"ring"}`); got.status != http.StatusOK {
			t.Errorf("booking %s was answered %d: %s", key, got.status, got.body)
		}
	})
	f.concurrently(len(f.routers), func(i int) {
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		if err := f.routers[i].node.Stop(ctx); err != nil {
			t.Errorf("router %d: the stop failed: %v", i, err)
		}
	})
}
