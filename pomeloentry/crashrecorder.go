package pomeloentry

import (
	"context"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

const (
	// crashRecordTTL is how long the record of a router's crashes outlives its process, so that its quarantines hold when all routers restart.
	// It is the longest that the platform allows.
	crashRecordTTL = 10 * time.Minute
	// crashRecordRenewal is the interval of renewals, a third of crashRecordTTL.
	crashRecordRenewal = crashRecordTTL / 3
	// crashRecordInterval is the minimum time between two writes.
	crashRecordInterval = 500 * time.Millisecond
)

// crashRecorder keeps the crashes that led to quarantines recorded in the platform's store.
type crashRecorder struct {
	e       *Router
	pending chan []pomelorelay.RequestCrash

	// The other fields belong to the goroutine that calls keep.
	crashes   []pomelorelay.RequestCrash
	unwritten bool
	lease     pomelorelay.LeaseID
	renewedAt time.Time
}

func newCrashRecorder(e *Router) *crashRecorder {
	return &crashRecorder{e: e, pending: make(chan []pomelorelay.RequestCrash, 1)}
}

// set replaces the crashes to record. Only the control goroutine calls it.
func (r *crashRecorder) set(list []pomelorelay.RequestCrash) {
	select {
	case <-r.pending:
	default:
	}
	r.pending <- list
}

// keep records the crashes until ctx ends. The record is left to its lease then, since it must outlive the process.
func (r *crashRecorder) keep(ctx context.Context) {
	r.e.runStoreTask(ctx, storeTask{name: "crashes", minInterval: crashRecordInterval, call: func(bool) error {
		r.awaitWork(ctx)
		if ctx.Err() != nil {
			return nil
		}
		err := r.record(ctx)
		if pomelorelay.IsErrCode(err, pomelorelay.CodeStoreLeaseLapsed) {
			r.lease, r.unwritten = 0, len(r.crashes) > 0
		}
		return err
	}})
}

// awaitWork returns when there is a record to write or a lease to renew.
func (r *crashRecorder) awaitWork(ctx context.Context) {
	if r.unwritten {
		// A newer list replaces one that could not be written.
		select {
		case r.crashes = <-r.pending:
		default:
		}
		return
	}
	var renewal <-chan time.Time
	if r.lease != 0 {
		timer := time.NewTimer(time.Until(r.renewedAt.Add(crashRecordRenewal)))
		defer timer.Stop()
		renewal = timer.C
	}
	select {
	case <-ctx.Done():
	case <-renewal:
	case r.crashes = <-r.pending:
		r.unwritten = true
	}
}

// record makes the store calls that are due.
func (r *crashRecorder) record(ctx context.Context) error {
	platform, settings := r.e.cfg.Platform, r.e.cfg.Settings
	if len(r.crashes) == 0 {
		return r.end(ctx)
	}
	if r.lease == 0 {
		lease, err := platform.OpenLease(ctx, crashRecordTTL)
		r.e.metrics.CountStoreCall("announce", "crashes", pomelorelay.CodeOf(err))
		if err != nil {
			return err
		}
		r.lease, r.renewedAt = lease, time.Now()
	}
	if r.unwritten {
		err := platform.RecordCrashes(ctx, settings.Self.Node, r.e.incarnation, r.crashes, r.lease)
		r.e.metrics.CountStoreCall("announce", "crashes", pomelorelay.CodeOf(err))
		r.unwritten = err != nil
		return err
	}
	err := platform.RenewLease(ctx, r.lease)
	r.e.metrics.CountStoreCall("renew", "crashes", pomelorelay.CodeOf(err))
	if err == nil {
		r.renewedAt = time.Now()
	}
	return err
}

// end removes a record that holds no crashes any more.
func (r *crashRecorder) end(ctx context.Context) error {
	r.unwritten = false
	if r.lease == 0 {
		return nil
	}
	lease := r.lease
	r.lease = 0
	err := r.e.cfg.Platform.CloseLease(ctx, lease)
	r.e.metrics.CountStoreCall("close", "crashes", pomelorelay.CodeOf(err))
	return err
}
