package pomelocapacity

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomeloslot"

	"github.com/go-faster/errors"
)

// PlatformFigures is what reading upstreams' loads and the host list costs a router.
type PlatformFigures struct {
	// LoadCore is a read's processor time, both ends together; LoadSent and LoadReceived its bytes without TLS.
	LoadCore, LoadSent, LoadReceived float64
	// HostBytes and HostCore are one host list, by its hosts.
	HostBytes, HostCore Series
}

const loadReads = 1000

// countedConn counts what a client sends and receives.
type countedConn struct {
	net.Conn
	sent, received *atomic.Int64
}

// Read reads and counts.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

func measurePlatform(t Target) (PlatformFigures, error) {
	var f PlatformFigures
	if err := f.measureLoads(); err != nil {
		return f, err
	}
	return f, f.measureHosts(t)
}

// measureLoads reads a load as a slot owner does, from a server in this process.
func (f *PlatformFigures) measureLoads() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for load reads")
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(pomeloslot.LoadReport{Running: 68, Waiting: 1, Slots: 68})
	})}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	var sent, received atomic.Int64
	var dialer net.Dialer
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		return countedConn{conn, &sent, &received}, err
	}}}
	defer client.CloseIdleConnections()
	var failed error
	spent := timed(func() func() {
		return func() { failed = readLoads(client, "http://"+listener.Addr().String()+"/load") }
	})
	f.LoadCore = micros(spent)/loadReads - asleep()
	f.LoadSent = float64(sent.Load()) / loadReads / repeats
	f.LoadReceived = float64(received.Load()) / loadReads / repeats
	return failed
}

func readLoads(client *http.Client, url string) error {
	for range loadReads {
		resp, err := client.Get(url)
		if err != nil {
			return err
		}
		var load pomeloslot.LoadReport
		err = json.NewDecoder(resp.Body).Decode(&load)
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err != nil {
			return err
		}
		time.Sleep(meshPause)
	}
	return nil
}

func (f *PlatformFigures) measureHosts(t Target) error {
	var length, core []Point
	for _, hosts := range []int{16, 160, t.Nodes + t.Upstreams} {
		data, err := json.Marshal(hostList(t, hosts))
		if err != nil {
			return errors.Wrap(err, "encode a host list")
		}
		length = append(length, Point{float64(hosts), float64(len(data))})
		const times = 20
		var failed error
		spent := timed(func() func() {
			return func() {
				for range times {
					var list []pomelorelay.Host
					failed = json.NewDecoder(bytes.NewReader(data)).Decode(&list)
				}
			}
		})
		if failed != nil {
			return failed
		}
		core = append(core, Point{float64(hosts), micros(spent) / times})
	}
	f.HostBytes = Series{"Host list", "bytes of one read", "B", "hosts", Fit(length)}
	f.HostCore = Series{"Host list", "processor time of one read", "µs", "hosts", Fit(core)}
	return nil
}

func hostList(t Target, n int) []pomelorelay.Host {
	var hosts []pomelorelay.Host
	for i := range n {
		p := memberPeer(t, i%t.Domains, i/t.Domains)
		hosts = append(hosts, pomelorelay.Host{Name: string(p.Node), Kind: pomelorelay.HostUpstream, Addr: p.Addr, Domain: p.Domain, Region: p.Region})
	}
	return hosts
}
