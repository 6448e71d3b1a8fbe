package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	graceTime    = 8 * time.Second
	restartDelay = 500 * time.Millisecond
	memoryPoll   = 20 * time.Millisecond
)

// router is one router process, started as deploy/system.toml starts it, and the platform's care for it.
type router struct {
	name                  string
	repo, dir             string
	front, ready, control string
	internal              int
	memoryMB              int
	rec                   *record

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	inUse  bool
	ended  bool
	peakKB int
	// memoryKills counts the times that the platform has killed the process for exceeding its memory.
	memoryKills int
}

// Ports of the processes lie below the range from which the system takes the ports of outgoing connections.
const (
	minPort      = 12000
	maxPort      = 30000
	portAttempts = 1000
)

// freePorts returns the first of n consecutive free ports.
func freePorts(n int) (int, error) {
	for range portAttempts {
		first := minPort + rand.IntN(maxPort-minPort)
		if allFree(first, n) {
			return first, nil
		}
	}
	return 0, errors.New("no free ports found")
}

func allFree(first, n int) bool {
	for port := first; port < first+n; port++ {
		l, err := net.Listen("tcp", loopback(port))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// portsPerRouter is the number of ports of a router: front, ready, control plane and two internal ones.
const portsPerRouter = 5

// newRouter returns a router with free ports.
func newRouter(n int, cfg fleetConfig, rec *record) (*router, error) {
	first, err := freePorts(portsPerRouter)
	if err != nil {
		return nil, err
	}
	return &router{
		name: fmt.Sprintf("edge-%d", n+1), repo: cfg.repo, dir: cfg.dir, memoryMB: cfg.memoryMB, rec: rec,
		front: loopback(first), ready: loopback(first + 1), control: loopback(first + 2), internal: first + 3,
	}, nil
}

// writeSettings writes the settings file of a process in the platform's format.
func (r *router) writeSettings(storeAddr, zone string, seeds []string) error {
	text := fmt.Sprintf(`node_name: %q
role: "router"
machine_class: "edge"
serves: ["edge", "control"]
ip_address: "127.0.0.1"
zone: %q
region: "north"
zones: {zone-a: "north", zone-b: "north", zone-c: "north"}
listen_addrs: {front_addr: %q, ready: %q, control_plane: %q}
internal_ports: [%d, %d]
seed_nodes: ["%s"]
bootstrap: true
limits: {cpu_fraction: 0.4, cpu_speedup: 1, memory_mb: %d, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry: "virtual_ip"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
fault_tolerance: {machine_count: 2, zones: 0, region_count: 0}
bounds: {seed_lag_s: 3, reuse_after_s: 2, contact_ms: 4000, ack_ms: 5000, catch_up_s: 4, drain_ms: 2500, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2500, rollback_slack_ms: 250, max_skew_ms: 6000, strict_revocation: false, revoke_ms: 5000, retry_ratio: 0.2, retry_window_s: 10, retry_slack: 56, recover_s: 12, pass_ms: 250, reuse_window_s: 7.5, quota_window_s: 4}
platform: {address: %q, form: "kv", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}
`, r.name, zone, r.front, r.ready, r.control, r.internal, r.internal+1, strings.Join(seeds, `", "`), r.memoryMB, storeAddr)
	return os.WriteFile(r.settings(), []byte(text), 0o644)
}

func (r *router) settings() string { return filepath.Join(r.dir, r.name+".yaml") }

// start starts the process, and again after a short delay whenever it ends, until close is called.
func (r *router) start() error {
	out, err := os.OpenFile(filepath.Join(r.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/pomelorelayd", "entry")
	cmd.Dir, cmd.Stdout, cmd.Stderr = r.repo, out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "POMELORELAY_BOOT=" + r.settings()}
	exited := make(chan struct{})
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return out.Close()
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	r.cmd, r.exited = cmd, exited
	r.rec.log("router %s starts, process %d", r.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		out.Close()
		r.rec.log("router %s ends: %v", r.name, err)
		close(exited)
		time.Sleep(restartDelay)
		if err := r.start(); err != nil {
			r.rec.log("router %s doesn't start: %v", r.name, err)
		}
	}()
	return nil
}

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after the grace time.
func (r *router) terminate() {
	r.mu.Lock()
	cmd, exited := r.cmd, r.exited
	r.mu.Unlock()
	r.rec.log("router %s gets SIGTERM", r.name)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-exited:
		case <-time.After(graceTime):
			r.rec.log("router %s gets SIGKILL after the grace time", r.name)
			_ = cmd.Process.Kill()
		}
	}()
}

// close ends the process for good.
func (r *router) close() {
	r.mu.Lock()
	r.ended = true
	cmd, exited := r.cmd, r.exited
	r.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

// isReady asks the router whether it is ready.
func (r *router) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + r.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// watchReady asks for readiness once a second and takes the router out of use after two misses.
func (r *router) watchReady(stop <-chan struct{}) {
	missed := 2
	for {
		if r.isReady() {
			missed = 0
		} else {
			missed++
		}
		r.mu.Lock()
		r.inUse = missed < 2
		r.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

func (r *router) usable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inUse
}

// watchMemory kills the process when it exceeds its memory, as the platform does.
func (r *router) watchMemory(stop <-chan struct{}) {
	for {
		r.mu.Lock()
		cmd := r.cmd
		r.mu.Unlock()
		if cmd != nil {
			kb := residentKB(cmd.Process.Pid)
			r.mu.Lock()
			r.peakKB = max(r.peakKB, kb)
			r.mu.Unlock()
			if kb > r.memoryMB<<10 {
				r.rec.log("router %s uses %d MB of %d: the platform kills it", r.name, kb>>10, r.memoryMB)
				r.mu.Lock()
				r.memoryKills++
				exited := r.exited
				r.mu.Unlock()
				_ = cmd.Process.Kill()
				<-exited
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(memoryPoll):
		}
	}
}

// memoryUse returns the most memory that the router's processes have used, in MB, and how often the platform has killed them for it.
func (r *router) memoryUse() (peakMB, kills int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peakKB >> 10, r.memoryKills
}

// residentKB returns the resident memory of a process in KB; zero if it is gone.
func residentKB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range bytes.Split(data, []byte("\n")) {
		if fields := bytes.Fields(line); len(fields) > 1 && string(fields[0]) == "VmRSS:" {
			n, _ := strconv.Atoi(string(fields[1]))
			return n
		}
	}
	return 0
}
