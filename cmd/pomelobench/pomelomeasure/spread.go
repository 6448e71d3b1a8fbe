package pomelomeasure

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloconfig"
	"github.com/pomelorelay/pomelorelay/pomelostore"
)

// SpreadConfig says what changes Spread makes and which routers it watches.
type SpreadConfig struct {
	Store         netip.AddrPort
	Operators     []netip.AddrPort
	Configuration pomeloconfig.Configuration
	Changes       int
	// Within bounds the wait for one change.
	Within time.Duration
}

// SpreadResult is how long changes took from the accepted swap until they were in force on all routers, in milliseconds.
type SpreadResult struct {
	Accounts                   int
	Routers                    int
	Changes                    int
	Late                       int
	P50Milliseconds            float64
	P99Milliseconds            float64
	HighestMilliseconds        float64
	FirstRouterP50Milliseconds float64
	PublishP50Milliseconds     float64
	FirstPublishMilliseconds   float64
	FirstInForceMilliseconds   float64
}

// pollEvery is how often a router's status is read; figures are no finer.
const pollEvery = 5 * time.Millisecond

// Grow adds accounts until there are as many as given, and leaves the teams' totals of shares open.
func Grow(c *pomeloconfig.Configuration, accounts int) {
	for i := range c.Teams {
		c.Teams[i].ShareTotal = 0
	}
	team := c.Accounts[0].Team
	for n := len(c.Accounts); n < accounts; n++ {
		name := fmt.Sprintf("grown-%05d", n)
		c.Accounts = append(c.Accounts, pomeloconfig.Account{
			Name: pomelorelay.AccountID(name), Team: team, Share: 1, TokenHashes: []string{pomeloconfig.HashToken("example-" + name)},
		})
	}
}

// Spread applies the configuration, then one change of an account's share after the other, and measures each; it fails as
// Publish does, or with CodeConfigNotInForce when the first is not in force within the bound.
func Spread(ctx context.Context, cfg SpreadConfig) (SpreadResult, error) {
	r := SpreadResult{Accounts: len(cfg.Configuration.Accounts), Routers: len(cfg.Operators), Changes: cfg.Changes}
	client, err := pomelostore.New(pomelostore.Config{Addresses: []netip.AddrPort{cfg.Store}, CallsPerSecond: 300})
	if err != nil {
		return r, err
	}
	publisher := pomeloconfig.NewPublisher(pomeloconfig.PublisherConfig{Store: client})
	first, published, err := change(ctx, publisher, cfg)
	if err != nil {
		return r, err
	}
	if !first.all {
		return r, pomelorelay.NewError(pomelorelay.CodeConfigNotInForce, "the first configuration", nil)
	}
	r.FirstPublishMilliseconds, r.FirstInForceMilliseconds = inMilliseconds(published), inMilliseconds(first.last)
	spread, earliest, publishing := newHistogram(), newHistogram(), newHistogram()
	for i := range cfg.Changes {
		cfg.Configuration.Accounts[i%len(cfg.Configuration.Accounts)].Share++
		got, published, err := change(ctx, publisher, cfg)
		if err != nil {
			return r, err
		}
		if !got.all {
			r.Late++
			continue
		}
		// The values are within the histogram's range by the bound on the wait.
		_ = spread.RecordValue(int64(got.last))
		_ = earliest.RecordValue(int64(got.first))
		_ = publishing.RecordValue(int64(published))
	}
	r.P50Milliseconds, r.P99Milliseconds = milliseconds(spread, 50), milliseconds(spread, 99)
	r.HighestMilliseconds = inMilliseconds(time.Duration(spread.Max()))
	r.FirstRouterP50Milliseconds, r.PublishP50Milliseconds = milliseconds(earliest, 50), milliseconds(publishing, 50)
	return r, nil
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// arrival is when the first and the last router had a generation in force, after it was accepted.
type arrival struct {
	first, last time.Duration
	all         bool
}

func change(ctx context.Context, p *pomeloconfig.Publisher, cfg SpreadConfig) (arrival, time.Duration, error) {
	began := time.Now()
	root, err := p.Publish(ctx, cfg.Configuration, pomeloconfig.Change{Author: "pomelobench", Why: "spread"})
	if err != nil {
		return arrival{}, 0, err
	}
	accepted := time.Now()
	return await(ctx, cfg, root.Generation, accepted), accepted.Sub(began), nil
}

// await polls every router by itself until it has the generation.
func await(ctx context.Context, cfg SpreadConfig, generation pomelorelay.Generation, accepted time.Time) arrival {
	ctx, cancel := context.WithDeadline(ctx, accepted.Add(cfg.Within))
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var took []time.Duration
	for _, operator := range cfg.Operators {
		wg.Go(func() {
			for ctx.Err() == nil {
				if generationOf(ctx, operator) >= generation {
					mu.Lock()
					defer mu.Unlock()
					took = append(took, time.Since(accepted))
					return
				}
				time.Sleep(pollEvery)
			}
		})
	}
	wg.Wait()
	if len(took) == 0 {
		return arrival{}
	}
	return arrival{first: took[0], last: took[len(took)-1], all: len(took) == len(cfg.Operators)}
}

func generationOf(ctx context.Context, operator netip.AddrPort) pomelorelay.Generation {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operator.String()+"/status", nil)
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var s struct{ Generation pomelorelay.Generation }
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return 0
	}
	return s.Generation
}
