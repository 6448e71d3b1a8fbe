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

// standInCommand runs stand-ins in one process.
type standInCommand struct {
	engines  map[string]string
	plains   map[string]string
	relays   map[string]string
	platform string
	hosts    string
	admin    string
	listLag  time.Duration
	engine   pomelofake.EngineConfig
	plain    pomelofake.PlainConfig
	store    pomelofake.StoreConfig

	logger  logger
	closers []io.Closer
}

func newStandInCommand(cmd *kingpin.CmdClause) *standInCommand {
	c := &standInCommand{
		engines: make(map[string]string),
		plains:  make(map[string]string),
		relays:  make(map[string]string),
		logger:  newLogger(),
	}
	cmd.Flag("engine", "A model engine, as NAME=IP:PORT; may be repeated.").StringMapVar(&c.engines)
	cmd.Flag("plain", "A plain service, as NAME=IP:PORT; may be repeated.").StringMapVar(&c.plains)
	cmd.Flag("relay", "A TCP relay, as NAME=IP:PORT/IP:PORT for its own address and its target's; may be repeated.").StringMapVar(&c.relays)
	cmd.Flag("platform", "The platform's store and host list, as IP:PORT.").StringVar(&c.platform)
	cmd.Flag("hosts", "A JSON file with the host list's first content.").StringVar(&c.hosts)
	cmd.Flag("admin", "The address of the admin handler, as IP:PORT.").Required().StringVar(&c.admin)
	cmd.Flag("list-lag", "How long a change of the host list takes to show.").Default("500ms").DurationVar(&c.listLag)
	cmd.Flag("model", "The model of the engines.").StringVar(&c.engine.Model)
	cmd.Flag("engine-slots", "Requests in an engine's batch.").Default("8").IntVar(&c.engine.Slots)
	cmd.Flag("step", "The time of a decode step.").Default("2ms").DurationVar(&c.engine.StepTime)
	cmd.Flag("load-lag", "The age of the reported load.").Default("500ms").DurationVar(&c.engine.LoadLag)
	cmd.Flag("crash-marker", "A text that makes the engine crash that runs a request with it.").StringVar(&c.engine.CrashMarker)
	cmd.Flag("plain-slots", "Requests that a plain service runs at once.").Default("8").IntVar(&c.plain.Slots)
	cmd.Flag("min-time", "The shortest run of a plain service.").Default("5ms").DurationVar(&c.plain.MinRunTime)
	cmd.Flag("write-rate", "Writes a second that the store takes.").Default("400").Float64Var(&c.store.WriteRate)
	cmd.Flag("read-rate", "Reads a second that the store takes.").Default("2000").Float64Var(&c.store.ReadRate)
	return c
}

func (c *standInCommand) run(ctx context.Context) error {
	defer c.close()
	admin, err := c.start()
	if err != nil {
		return err
	}
	if err := c.host("admin", c.admin, pomelofake.NewAdmin(admin)); err != nil {
		return err
	}
	<-ctx.Done()
	c.logger.Log(pomelorelay.EventStandInStopped)
	return nil
}

// close ends the stand-ins in the reverse order of their start.
func (c *standInCommand) close() {
	for i := len(c.closers) - 1; i >= 0; i-- {
		_ = c.closers[i].Close()
	}
}

func (c *standInCommand) start() (pomelofake.AdminConfig, error) {
	admin := pomelofake.AdminConfig{
		Engines: make(map[pomelorelay.UpstreamID]*pomelofake.Engine),
		Plains:  make(map[pomelorelay.UpstreamID]*pomelofake.PlainService),
		Relays:  make(map[string]*pomelofake.Relay),
	}
	for name, addr := range c.engines {
		engine, err := c.startEngine(name, addr)
		if err != nil {
			return admin, err
		}
		admin.Engines[pomelorelay.UpstreamID(name)] = engine
	}
	cfg := c.plain
	cfg.LoadLag = c.engine.LoadLag
	for name, addr := range c.plains {
		plain := pomelofake.NewPlainService(cfg)
		if err := c.host(name, addr, plain); err != nil {
			return admin, err
		}
		admin.Plains[pomelorelay.UpstreamID(name)] = plain
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

// startEngine binds the engine to its host, which it crashes when it crashes itself.
func (c *standInCommand) startEngine(name, addr string) (*pomelofake.Engine, error) {
	var host *pomelofake.Host
	hosted := make(chan struct{})
	cfg := c.engine
	cfg.Crash = func(downFor time.Duration) {
		<-hosted
		host.Crash(downFor)
	}
	engine := pomelofake.NewEngine(cfg)
	c.closers = append(c.closers, engine)
	host, err := c.newHost(name, addr, engine)
	close(hosted)
	return engine, err
}

func (c *standInCommand) startRelay(name, addrs string) (*pomelofake.Relay, error) {
	own, target, ok := strings.Cut(addrs, "/")
	if !ok {
		return nil, errors.Errorf("relay %s: %q is not IP:PORT/IP:PORT", name, addrs)
	}
	relay, err := pomelofake.NewRelay(pomelofake.RelayConfig{
		Listen: pomelofake.ListenTCP(own),
		Dial:   func() (net.Conn, error) { return net.Dial("tcp", target) },
	})
	if err != nil {
		return nil, errors.Wrapf(err, "relay %s", name)
	}
	c.closers = append(c.closers, relay)
	c.logger.Log(pomelorelay.EventStandInStarted, pomelorelay.Field{Key: "Name", Value: name}, pomelorelay.Field{Key: "Address", Value: own})
	return relay, nil
}

func (c *standInCommand) startPlatform(admin *pomelofake.AdminConfig) error {
	if c.platform == "" {
		return nil
	}
	hosts, err := readHosts(c.hosts)
	if err != nil {
		return err
	}
	admin.Store = pomelofake.NewStore(c.store)
	admin.HostList = pomelofake.NewHostList(pomelofake.HostListConfig{Hosts: hosts, Lag: c.listLag})
	c.closers = append(c.closers, admin.Store)
	return c.host("platform", c.platform, platform(*admin))
}

// platform answers the store's and the host list's calls at one address.
func platform(admin pomelofake.AdminConfig) http.Handler {
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
		return nil, errors.Wrap(err, "read the hosts")
	}
	var hosts []pomelorelay.Host
	if err := json.Unmarshal(data, &hosts); err != nil {
		return nil, errors.Wrap(err, "read the hosts")
	}
	return hosts, nil
}

func (c *standInCommand) host(name, addr string, handler http.Handler) error {
	_, err := c.newHost(name, addr, handler)
	return err
}

func (c *standInCommand) newHost(name, addr string, handler http.Handler) (*pomelofake.Host, error) {
	host, err := pomelofake.NewHost(pomelofake.HostConfig{Listen: pomelofake.ListenTCP(addr), Handler: handler})
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	c.closers = append(c.closers, host)
	c.logger.Log(pomelorelay.EventStandInStarted, pomelorelay.Field{Key: "Name", Value: name}, pomelorelay.Field{Key: "Address", Value: addr})
	return host, nil
}
