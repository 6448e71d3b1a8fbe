package pomelocapacity

import "time"

// ExchangeOf runs a small failure domain and returns what a node sent and served a second.
func ExchangeOf(routers, upstreams int) (messages, requests float64) {
	t := Size()
	cfg := t.exchangeOf(routers, upstreams, time.Second)
	cfg.slots, cfg.duration = 4, 2*time.Second
	got := runExchange(cfg)
	return got.sent.messages, got.requests
}

// PageOf fills in the page.
func PageOf(f Figures) (string, error) { return f.page(nil) }

// MeasureQuickly gives every series a point, so that the page can be filled in without measuring for a minute.
func MeasureQuickly() (Figures, error) {
	defaults, err := Defaults()
	f := Figures{Target: Size(), Settings: defaults}
	if err != nil {
		return f, err
	}
	one := Series{Role: "Role", Figure: "figure", Unit: "unit", Size: "size", Slope: Fit([]Point{{1, 2}, {2, 3}})}
	f.Entry = EntryFigures{one, one, one, one}
	f.Slots = SlotFigures{one, one, one, one, one, one, []KindRate{{"Grant", 1, 2}}, 1, 1}
	f.Members = MemberFigures{one, one, one, one, classed{{1, 2}}, 20}
	f.Ledger = LedgerFigures{ReporterCore: one, ReporterMessages: one, ReporterBytes: one, ReporterKnownCore: one, ReporterKnownMemory: one, HostCore: one, HostBytes: one, HostMemory: one, HostByDomains: one}
	f.Claims = ClaimFigures{Core: one, Writes: one, Reads: one, Written: one, Memory: one, Kept: 100}
	f.Configuration = ConfigurationFigures{one, one, one, one, one, 1, 1}
	f.Quarantine = QuarantineFigures{Memory: one}
	f.Mesh = MeshFigures{one, 3, one, one, 1, 1}
	f.Platform = PlatformFigures{1, 1, 1, one, one}
	return f, nil
}
