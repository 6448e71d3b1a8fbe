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

// PropagationConfig configures MeasurePropagation: the store, the operator ports of the routers, the initial configuration and
// the number of changes to measure after it.
type PropagationConfig struct {
	Store         netip.AddrPort
	OperatorAddrs []netip.AddrPort
	Configuration pomeloconfig.Configuration
	Changes       int
	// ChangeTimeout bounds the wait until one change is in force.
	ChangeTimeout time.Duration
}

// PropagationResult contains publish times, which end when the store accepts a configuration, and propagation times, which run from
// then until the configuration is in force on all routers (for FirstRouterP50Milliseconds, on the first router).
// FirstPublishMilliseconds and FirstInForceMilliseconds are the times of the initial configuration; all other times are those of the
// changes after it.
type PropagationResult struct {
	Accounts                   int
	Routers                    int
	Changes                    int
	TimedOut                   int `json:"Late"`
	P50Milliseconds            float64
	P99Milliseconds            float64
	MaxMilliseconds            float64 `json:"HighestMilliseconds"`
	FirstRouterP50Milliseconds float64
	PublishP50Milliseconds     float64
	FirstPublishMilliseconds   float64
	FirstInForceMilliseconds   float64
}

// pollInterval is the time between two reads of a router's status, and so the resolution of the results.
const pollInterval = 5 * time.Millisecond

// AddAccounts adds generated accounts until the configuration has the given number, and clears the teams' share totals, which the
// new accounts would exceed.
func AddAccounts(c *pomeloconfig.Configuration, accounts int) {
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

// MeasurePropagation publishes the configuration, then cfg.Changes changes one after another, each to the share of one account, and
// measures the publish and propagation times. It fails as Publisher.Publish does, or with CodeConfigNotInForce when the initial
// configuration is not in force within ChangeTimeout.
func MeasurePropagation(ctx context.Context, cfg PropagationConfig) (PropagationResult, error) {
	r := PropagationResult{Accounts: len(cfg.Configuration.Accounts), Routers: len(cfg.OperatorAddrs), Changes: cfg.Changes}
	client, err := pomelostore.New(pomelostore.Config{Addresses: []netip.AddrPort{cfg.Store}, CallsPerSecond: 300})
	if err != nil {
		return r, err
	}
	publisher := pomeloconfig.NewPublisher(pomeloconfig.PublisherConfig{Store: client})
	first, published, err := publishAndWait(ctx, publisher, cfg)
	if err != nil {
		return r, err
	}
	if !first.complete {
		return r, pomelorelay.NewError(pomelorelay.CodeConfigNotInForce, "initial configuration", nil)
	}
	r.FirstPublishMilliseconds, r.FirstInForceMilliseconds = inMilliseconds(published), inMilliseconds(first.lastRouter)
	lastRouterTimes, firstRouterTimes, publishTimes := newHistogram(), newHistogram(), newHistogram()
	for i := range cfg.Changes {
		cfg.Configuration.Accounts[i%len(cfg.Configuration.Accounts)].Share++
		got, published, err := publishAndWait(ctx, publisher, cfg)
		if err != nil {
			return r, err
		}
		if !got.complete {
			r.TimedOut++
			continue
		}
		// Errors can be ignored, since ChangeTimeout keeps the values within the histogram's range.
		_ = lastRouterTimes.RecordValue(int64(got.lastRouter))
		_ = firstRouterTimes.RecordValue(int64(got.firstRouter))
		_ = publishTimes.RecordValue(int64(published))
	}
	r.P50Milliseconds, r.P99Milliseconds = percentileMilliseconds(lastRouterTimes, 50), percentileMilliseconds(lastRouterTimes, 99)
	r.MaxMilliseconds = inMilliseconds(time.Duration(lastRouterTimes.Max()))
	r.FirstRouterP50Milliseconds, r.PublishP50Milliseconds = percentileMilliseconds(firstRouterTimes, 50), percentileMilliseconds(publishTimes, 50)
	return r, nil
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// propagation contains the times from the acceptance of a generation until it was in force on the first and on the last router.
// complete reports whether every router had the generation in force before the timeout.
type propagation struct {
	firstRouter, lastRouter time.Duration
	complete                bool
}

func publishAndWait(ctx context.Context, p *pomeloconfig.Publisher, cfg PropagationConfig) (propagation, time.Duration, error) {
	began := time.Now()
	root, err := p.Publish(ctx, cfg.Configuration, pomeloconfig.Change{Author: "pomelobench", Why: "spread"})
	if err != nil {
		return propagation{}, 0, err
	}
	accepted := time.Now()
	return waitInForce(ctx, cfg, root.Generation, accepted), accepted.Sub(began), nil
}

// waitInForce polls all routers concurrently until each has the generation or the timeout ends.
func waitInForce(ctx context.Context, cfg PropagationConfig, generation pomelorelay.Generation, accepted time.Time) propagation {
	ctx, cancel := context.WithDeadline(ctx, accepted.Add(cfg.ChangeTimeout))
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var took []time.Duration
	for _, operator := range cfg.OperatorAddrs {
		wg.Go(func() {
			for ctx.Err() == nil {
				if generationOf(ctx, operator) >= generation {
					mu.Lock()
					defer mu.Unlock()
					took = append(took, time.Since(accepted))
					return
				}
				time.Sleep(pollInterval)
			}
		})
	}
	wg.Wait()
	if len(took) == 0 {
		return propagation{}
	}
	return propagation{firstRouter: took[0], lastRouter: took[len(took)-1], complete: len(took) == len(cfg.OperatorAddrs)}
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
