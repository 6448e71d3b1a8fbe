package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelofake"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"
)

// standInCommand runs stand-ins (simulated upstreams, store, host list and links) in one process.
type standInCommand struct {
	engines       map[string]string
	plainServices map[string]string
	relays        map[string]string
	platformAddr  string
	hostsPath     string
	adminAddr     string
	listLag       time.Duration
	engineConfig  pomelofake.EngineConfig
	plainConfig   pomelofake.PlainConfig
	storeConfig   pomelofake.StoreConfig

	logger  logger
	closers []io.Closer
}

func newStandInCommand(cmd *kingpin.CmdClause) *standInCommand {
	c := &standInCommand{
		engines:       make(map[string]string),
		plainServices: make(map[string]string),
		relays:        make(map[string]string),
		logger:        newLogger(),
	}
	cmd.Flag("engine", "A model engine, as NAME=IP:PORT; may be repeated.").StringMapVar(&c.engines)
	cmd.Flag("plain", "A plain service, as NAME=IP:PORT; may be repeated.").StringMapVar(&c.plainServices)
	cmd.Flag("relay", "A TCP relay, as NAME=IP:PORT/IP:PORT with its listen address and its target; may be repeated.").StringMapVar(&c.relays)
	cmd.Flag("platform", "The address of the platform's store and host list, as IP:PORT.").StringVar(&c.platformAddr)
	cmd.Flag("hosts", "A JSON file with the initial host list.").StringVar(&c.hostsPath)
	cmd.Flag("admin", "The address of the admin handler, as IP:PORT.").Required().StringVar(&c.adminAddr)
	cmd.Flag("list-lag", "Delay until a change of the host list is visible.").Default("500ms").DurationVar(&c.listLag)
	cmd.Flag("model", "The name of the model that the engines serve.").StringVar(&c.engineConfig.Model)
	cmd.Flag("engine-slots", "Maximum number of requests in an engine's batch.").Default("8").IntVar(&c.engineConfig.Slots)
	cmd.Flag("step", "Duration of a decode step.").Default("2ms").DurationVar(&c.engineConfig.StepTime)
	cmd.Flag("load-lag", "Age of the load that upstreams report.").Default("500ms").DurationVar(&c.engineConfig.LoadLag)
	cmd.Flag("crash-marker", "A text that crashes the engine when a request containing it starts to run.").StringVar(&c.engineConfig.CrashMarker)
	cmd.Flag("plain-slots", "Maximum number of requests that a plain service runs concurrently.").Default("8").IntVar(&c.plainConfig.Slots)
	cmd.Flag("min-time", "Minimum processing time of a plain service.").Default("5ms").DurationVar(&c.plainConfig.MinRunTime)
	cmd.Flag("write-rate", "Rate limit of the store, in writes per second.").Default("400").Float64Var(&c.storeConfig.WriteRate)
	cmd.Flag("read-rate", "Rate limit of the store, in reads per second.").Default("2000").Float64Var(&c.storeConfig.ReadRate)
	return c
}

func (c *standInCommand) run(ctx context.Context) error {
	defer c.close()
	admin, err := c.start()
	if err != nil {
		return err
	}
	if err := c.serve("admin", c.adminAddr, pomelofake.NewAdmin(admin)); err != nil {
		return err
	}
	<-ctx.Done()
	c.logger.Log(pomelorelay.EventStandInStopped)
	return nil
}

// close closes the stand-ins in the reverse order of their start.
func (c *standInCommand) close() {
	for i := len(c.closers) - 1; i >= 0; i-- {
		_ = c.closers[i].Close()
	}
}

func (c *standInCommand) start() (pomelofake.AdminConfig, error) {
	admin := pomelofake.AdminConfig{
		Engines:       make(map[pomelorelay.UpstreamID]*pomelofake.Engine),
		PlainServices: make(map[pomelorelay.UpstreamID]*pomelofake.PlainService),
		Relays:        make(map[string]*pomelofake.Relay),
	}
	for name, addr := range c.engines {
		engine, err := c.startEngine(name, addr)
		if err != nil {
			return admin, err
		}
		admin.Engines[pomelorelay.UpstreamID(name)] = engine
	}
	cfg := c.plainConfig
	cfg.LoadLag = c.engineConfig.LoadLag
	for name, addr := range c.plainServices {
		plain := pomelofake.NewPlainService(cfg)
		if err := c.serve(name, addr, plain); err != nil {
			return admin, err
		}
		admin.PlainServices[pomelorelay.UpstreamID(name)] = plain
	}
	for name, addrs := range c.relays {
		relay, err := c.startRelay(name, addrs)
		if err != nil {
			return admin, err
		}
		admin.Relays[name] = relay
	}
	return admin, c.startPlatform(&admin)
}

// startEngine starts an engine on a host of its own; a crash of the engine crashes the host too.
func (c *standInCommand) startEngine(name, addr string) (*pomelofake.Engine, error) {
	var host *pomelofake.Host
	hostStarted := make(chan struct{})
	cfg := c.engineConfig
	cfg.Crash = func(downFor time.Duration) {
		<-hostStarted
		host.Crash(downFor)
	}
	engine := pomelofake.NewEngine(cfg)
	c.closers = append(c.closers, engine)
	host, err := c.startHost(name, addr, engine)
	close(hostStarted)
	return engine, err
}

func (c *standInCommand) startRelay(name, addrs string) (*pomelofake.Relay, error) {
	listenAddr, target, ok := strings.Cut(addrs, "/")
	if !ok {
		return nil, errors.Errorf("relay %s: %q is not IP:PORT/IP:PORT", name, addrs)
	}
	relay, err := pomelofake.NewRelay(pomelofake.RelayConfig{
		Listen: pomelofake.ListenTCP(listenAddr),
		Dial:   func() (net.Conn, error) { return net.Dial("tcp", target) },
	})
	if err != nil {
		return nil, errors.Wrapf(err, "relay %s", name)
	}
	c.closers = append(c.closers, relay)
	c.logger.Log(pomelorelay.EventStandInStarted, pomelorelay.Field{Key: "Name", Value: name}, pomelorelay.Field{Key: "Address", Value: listenAddr})
	return relay, nil
}

func (c *standInCommand) startPlatform(admin *pomelofake.AdminConfig) error {
	if c.platformAddr == "" {
		return nil
	}
	hosts, err := readHosts(c.hostsPath)
	if err != nil {
		return err
	}
	admin.Store = pomelofake.NewStore(c.storeConfig)
	admin.HostList = pomelofake.NewHostList(pomelofake.HostListConfig{Hosts: hosts, Lag: c.listLag})
	c.closers = append(c.closers, admin.Store)
	return c.serve("platform", c.platformAddr, platformHandler(*admin))
}

// platformHandler serves the store and the host list at one address.
func platformHandler(admin pomelofake.AdminConfig) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/hosts" {
			admin.HostList.ServeHTTP(w, r)
			return
		}
		admin.Store.ServeHTTP(w, r)
	})
}

func readHosts(path string) ([]pomelorelay.Host, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read host list")
	}
	var hosts []pomelorelay.Host
	if err := json.Unmarshal(data, &hosts); err != nil {
		return nil, errors.Wrap(err, "decode host list")
	}
	return hosts, nil
}

func (c *standInCommand) serve(name, addr string, handler http.Handler) error {
	_, err := c.startHost(name, addr, handler)
	return err
}

func (c *standInCommand) startHost(name, addr string, handler http.Handler) (*pomelofake.Host, error) {
	host, err := pomelofake.NewHost(pomelofake.HostConfig{Listen: pomelofake.ListenTCP(addr), Handler: handler})
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	c.closers = append(c.closers, host)
	c.logger.Log(pomelorelay.EventStandInStarted, pomelorelay.Field{Key: "Name", Value: name}, pomelorelay.Field{Key: "Address", Value: addr})
	return host, nil
}
