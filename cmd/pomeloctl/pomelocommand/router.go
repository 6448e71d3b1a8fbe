package pomelocommand

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelohead"
)

const (
	routerTimeout  = 2 * time.Second
	maxStatusBytes = 16 << 20
)

// routerStatus is the answer to GET /status on a router's operator port; the elements of its lists are not decoded.
type routerStatus struct {
	Node        pomelorelay.NodeID
	Domain      pomelorelay.DomainID
	Region      pomelorelay.RegionID
	Incarnation pomelorelay.Incarnation
	Generation  pomelorelay.Generation
	Ready       bool
	Stopping    bool
	Evacuated   []pomelorelay.DomainID
	Members     []json.RawMessage
	Upstreams   []json.RawMessage
	Pools       []json.RawMessage
}

// routerClient calls the operator ports of routers.
type routerClient struct {
	http *http.Client
}

func newRouterClient() routerClient {
	return routerClient{http: &http.Client{Timeout: routerTimeout}}
}

func (c routerClient) status(ctx context.Context, router netip.AddrPort) (routerStatus, error) {
	var s routerStatus
	data, err := c.do(ctx, http.MethodGet, router, "/status")
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return s, unreachable(router, "/status: invalid JSON", err)
	}
	return s, nil
}

func (c routerClient) drain(ctx context.Context, router netip.AddrPort) error {
	_, err := c.do(ctx, http.MethodPost, router, "/drain")
	return err
}

func (c routerClient) do(ctx context.Context, method string, router netip.AddrPort, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+router.String()+path, nil)
	if err != nil {
		return nil, unreachable(router, path, err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, unreachable(router, path, err)
	}
	defer res.Body.Close()
	if err := pomelohead.CheckParsed(res); err != nil {
		return nil, unreachable(router, path, err)
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxStatusBytes))
	if err != nil {
		return nil, unreachable(router, path, err)
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return nil, unreachable(router, path+": status "+strconv.Itoa(res.StatusCode), nil)
	}
	return data, nil
}

func unreachable(router netip.AddrPort, detail string, cause error) error {
	return pomelorelay.NewError(pomelorelay.CodeRouterUnreachable, router.String()+" "+detail, cause)
}
