package pomeloentry_test

import (
	"errors"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// withIdleTimeout returns a version of the configuration with a limit on idle connections.
func (f *fleet) withIdleTimeout(version pomelorelay.Generation, limit time.Duration) *pomelorelay.FleetConfig {
	return f.configWith(version, func(c *pomelorelay.FleetConfig) { c.Limits.IdleTimeout = limit }, "/a/")
}

// Guards against closing a connection that its caller may still use by the configuration in force, and against keeping one for longer.
func TestIdleTimeoutFollowsConfiguration(t *testing.T) {
	const short, long = 300 * time.Millisecond, 8 * time.Second
	f := newFleet(t)
	f.store.PublishConfig(f.withIdleTimeout(1, short))
	f.upstream("u1", 0)
	n := f.start(time.Second)
	f.awaitStatus(n, "/a/", 200)

	conn, began := f.keep(n), time.Now()
	if status, _ := conn.send(f, "/a/", time.Second); status != 200 {
		t.Fatalf("answered %d", status)
	}
	if err := conn.SetReadDeadline(began.Add(testTimeout / 2)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("an idle connection beyond the limit of %v: %v, want it closed", short, err)
	}
	if idle := time.Since(began); idle < short {
		t.Errorf("closed after %v, before the limit of %v", idle, short)
	}

	f.store.PublishConfig(f.withIdleTimeout(2, long))
	isSecond := func(field pomelorelay.Field) bool { return field.Key == "Generation" && field.Value == uint64(2) }
	f.await("the longer limit is in force", func() bool { return n.log.hasWith(pomelorelay.EventConfigInForce, isSecond) })
	conn = f.keep(n)
	if status, _ := conn.send(f, "/a/", time.Second); status != 200 {
		t.Fatalf("answered %d", status)
	}
	if err := conn.SetReadDeadline(time.Now().Add(4 * short)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.reader.ReadByte(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("an idle connection within the limit of %v: %v, want it open", long, err)
	}
}

// Guards against heads over the operators' limit that are read to their end, and against refusing one within it.
func TestHeaderLimitFollowsConfiguration(t *testing.T) {
	f := newFleet(t)
	f.store.PublishConfig(f.configWith(1, func(c *pomelorelay.FleetConfig) { c.Limits.HeaderBytes = 16 << 10 }, "/a/"))
	f.upstream("u1", 0)
	n := f.start(time.Second)
	f.awaitStatus(n, "/a/", 200)
	for _, c := range []struct {
		name       string
		size, want int
	}{{"within the limit", 15 << 10, 200}, {"over the limit", 30 << 10, 431}} {
		if status, body, _ := f.callUndelimited(n, "/a/", "Pad", strings.Repeat("x", c.size)); status != c.want {
			t.Errorf("a head %s is answered with %d %q, want %d", c.name, status, body, c.want)
		}
	}
}
