package pomeloload

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelocheck"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// stepper disturbs routers and stand-ins at the plan's times.
type stepper struct {
	plan     Plan
	client   *http.Client
	recorder *recorder
	logf     func(format string, args ...any)
}

func (s *stepper) run(ctx context.Context) {
	steps := slices.Clone(s.plan.Steps)
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.After - b.After) })
	began := time.Now()
	for _, step := range steps {
		if !wait(ctx, step.After-time.Since(began)) {
			return
		}
		if err := s.do(ctx, step); err != nil {
			s.logf("step at %s failed: %v", step.After, err)
			s.recorder.mark(time.Now(), "step failed: "+err.Error())
		}
	}
}

func (s *stepper) do(ctx context.Context, step Step) error {
	if step.Drain != "" {
		if err := s.drain(ctx, step.Drain); err != nil {
			return err
		}
	}
	if step.Leave != "" {
		if err := s.leave(ctx, step.Leave); err != nil {
			return err
		}
	}
	if step.Fault != "" {
		s.recorder.mark(time.Now(), "fault "+step.Fault)
		_, err := s.fault(ctx, step.Admin, []byte(step.Fault))
		return err
	}
	return nil
}

// The stop is noted before it is asked for, so that nothing that breaks by it comes before the note.
func (s *stepper) drain(ctx context.Context, node pomelorelay.NodeID) error {
	i := slices.IndexFunc(s.plan.Routers, func(r Router) bool { return r.Name == node })
	if i < 0 {
		return planError("no router %s to drain", node)
	}
	s.recorder.mark(time.Now(), "drain "+string(node))
	s.recorder.observe(pomelocheck.RouterStopping{Node: node, At: time.Now()})
	_, err := s.post(ctx, "http://"+s.plan.Routers[i].Operator.String()+"/drain", nil)
	return err
}

func (s *stepper) leave(ctx context.Context, u pomelorelay.UpstreamID) error {
	body, err := json.Marshal(pomelofake.Fault{Leave: string(u)})
	if err != nil {
		return err
	}
	data, err := s.fault(ctx, s.plan.HostAdmin, body)
	if err != nil {
		return err
	}
	var answer pomelofake.FaultAnswer
	if err := json.Unmarshal(data, &answer); err != nil {
		return err
	}
	s.recorder.mark(answer.Shows, "leave "+string(u))
	s.recorder.leaves(u, answer.Shows)
	return nil
}

func (s *stepper) fault(ctx context.Context, admin netip.AddrPort, body []byte) ([]byte, error) {
	return s.post(ctx, "http://"+admin.String()+"/fault", body)
}

func (s *stepper) post(ctx context.Context, url string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := s.client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, pomelorelay.NewError(pomelorelay.CodeBenchStandIn, url+" answered "+resp.Status+": "+string(answer), nil)
	}
	return answer, nil
}
