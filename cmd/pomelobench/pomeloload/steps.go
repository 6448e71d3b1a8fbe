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

// stepRunner executes the plan's steps at their times.
type stepRunner struct {
	plan     Plan
	client   *http.Client
	recorder *recorder
	logf     func(format string, args ...any)
}

func (s *stepRunner) run(ctx context.Context) {
	steps := slices.Clone(s.plan.Steps)
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.After - b.After) })
	began := time.Now()
	for _, step := range steps {
		if !sleep(ctx, step.After-time.Since(began)) {
			return
		}
		if err := s.apply(ctx, step); err != nil {
			s.logf("step at %s failed: %v", step.After, err)
			s.recorder.addFault(time.Now(), "step failed: "+err.Error())
		}
	}
}

func (s *stepRunner) apply(ctx context.Context, step Step) error {
	if step.DrainRouter != "" {
		if err := s.drain(ctx, step.DrainRouter); err != nil {
			return err
		}
	}
	if step.LeavingUpstream != "" {
		if err := s.startLeaving(ctx, step.LeavingUpstream); err != nil {
			return err
		}
	}
	if step.Fault != "" {
		s.recorder.addFault(time.Now(), "fault "+step.Fault)
		_, err := s.postFault(ctx, step.FaultAdmin, []byte(step.Fault))
		return err
	}
	return nil
}

// drain records the planned stop of a router before requesting it, so that every failure caused by the stop has a later time.
func (s *stepRunner) drain(ctx context.Context, node pomelorelay.NodeID) error {
	i := slices.IndexFunc(s.plan.Routers, func(r Router) bool { return r.Name == node })
	if i < 0 {
		return planError("step drains unknown router %s", node)
	}
	s.recorder.addFault(time.Now(), "drain "+string(node))
	s.recorder.observe(pomelocheck.RouterStopping{Node: node, At: time.Now()})
	_, err := s.post(ctx, "http://"+s.plan.Routers[i].OperatorAddr.String()+"/drain", nil)
	return err
}

func (s *stepRunner) startLeaving(ctx context.Context, u pomelorelay.UpstreamID) error {
	body, err := json.Marshal(pomelofake.Fault{Leave: string(u)})
	if err != nil {
		return err
	}
	data, err := s.postFault(ctx, s.plan.HostListAdmin, body)
	if err != nil {
		return err
	}
	var answer pomelofake.FaultAnswer
	if err := json.Unmarshal(data, &answer); err != nil {
		return err
	}
	s.recorder.addFault(answer.Shows, "leave "+string(u))
	s.recorder.upstreamLeaving(u, answer.Shows)
	return nil
}

func (s *stepRunner) postFault(ctx context.Context, admin netip.AddrPort, body []byte) ([]byte, error) {
	return s.post(ctx, "http://"+admin.String()+"/fault", body)
}

func (s *stepRunner) post(ctx context.Context, url string, body []byte) ([]byte, error) {
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
