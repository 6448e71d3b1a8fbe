package pomelocapacity

import (
	"maps"
	"slices"
	"time"
)

// Series is a figure that was measured at several sizes.
type Series struct {
	Role, Figure, Unit, Size string
	Slope                    Slope
}

// SlotFigures is what a failure domain's routers spend on queues, registrations and grants.
type SlotFigures struct {
	// Core and Messages are by the number of routers at the target's upstreams, and by that of upstreams at the target's routers.
	CoreByRouters, MessagesByRouters, BytesByRouters       Series
	CoreByUpstreams, MessagesByUpstreams, BytesByUpstreams Series
	// Kinds are the messages a node and second at the target.
	Kinds []KindRate
	// Requests a node and second that the exchange served at the target.
	Requests float64
	Memory   float64
}

// KindRate is how many messages of a kind a node sends a second.
type KindRate struct {
	Kind             string
	Messages, Length float64
}

const (
	// slotWarm lets the requests end that the empty domain granted all at once to whoever stood nearest.
	slotWarm = 40 * time.Second
	slotSpan = 5 * time.Second
)

// exchanged is what one run of an exchange showed, a node and second.
type exchanged struct {
	core, requests, memory float64
	sent                   flow
	kinds                  []KindRate
}

func (t Target) exchangeOf(routers, upstreams int, digest time.Duration) exchangeConfig {
	return exchangeConfig{
		routers: routers, upstreams: upstreams, pools: t.Pools, slots: t.Slots(),
		// The load follows the upstreams: each always has its share of the backlogged accounts before it.
		accounts: t.Backlogged * upstreams / t.Upstreams, depth: t.Depth,
		duration: t.Duration(), digest: digest, tick: 50 * time.Millisecond,
	}
}

func runExchange(cfg exchangeConfig) exchanged {
	memory := held(func() any {
		x := newExchange(cfg)
		x.run(time.Second)
		return x
	})
	x := newExchange(cfg)
	x.run(slotWarm)
	spent := timed(func() func() {
		x.sent = make(map[string]*flow)
		x.ended = 0
		return func() { x.run(slotSpan) }
	})
	n := float64(cfg.routers) * slotSpan.Seconds()
	got := exchanged{core: micros(spent) / n, requests: float64(x.ended) / n, memory: memory / float64(cfg.routers)}
	for _, kind := range slices.Sorted(maps.Keys(x.sent)) {
		f := *x.sent[kind]
		got.sent = got.sent.plus(f.per(n))
		got.kinds = append(got.kinds, KindRate{kind, f.messages / n, f.bytes / f.messages})
	}
	return got
}

// measureSlots runs the exchange at several sizes.
func measureSlots(t Target, digest func(routers int) time.Duration) SlotFigures {
	var f SlotFigures
	var core, messages, bytes []Point
	for _, routers := range []int{8, 20, 40, t.Routers()} {
		got := runExchange(t.exchangeOf(routers, t.DomainUpstreams(), digest(routers)))
		core = append(core, Point{float64(routers), got.core})
		messages = append(messages, Point{float64(routers), got.sent.messages})
		bytes = append(bytes, Point{float64(routers), got.sent.bytes})
		f.Kinds, f.Requests, f.Memory = got.kinds, got.requests, got.memory
	}
	const role, size = "Queues, asker and slot owner", "routers of the domain"
	f.CoreByRouters = Series{role, "processor time", "µs/s a node", size, Fit(core)}
	f.MessagesByRouters = Series{role, "messages sent", "1/s a node", size, Fit(messages)}
	f.BytesByRouters = Series{role, "bytes before framing", "B/s a node", size, Fit(bytes)}
	core, messages, bytes = nil, nil, nil
	for _, upstreams := range []int{10, 25, 50, t.DomainUpstreams()} {
		got := runExchange(t.exchangeOf(t.Routers(), upstreams, digest(t.Routers())))
		core = append(core, Point{float64(upstreams), got.core})
		messages = append(messages, Point{float64(upstreams), got.sent.messages})
		bytes = append(bytes, Point{float64(upstreams), got.sent.bytes})
	}
	const ups = "upstreams of the domain"
	f.CoreByUpstreams = Series{role, "processor time", "µs/s a node", ups, Fit(core)}
	f.MessagesByUpstreams = Series{role, "messages sent", "1/s a node", ups, Fit(messages)}
	f.BytesByUpstreams = Series{role, "bytes before framing", "B/s a node", ups, Fit(bytes)}
	return f
}
