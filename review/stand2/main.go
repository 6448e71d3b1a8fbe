package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// stage is what a case plays on.
type stage struct {
	// mu protects routers while they are started and ended.
	mu      sync.Mutex
	record  *record
	runs    *runs
	store   *store
	routers []*router
	trouble bool
	dir     string
}

// cases are the cases by name. Each returns what broke the rule, or an error if it could not run.
var cases = map[string]func(*stage) ([]string, error){
	"late-bytes":  lateBytes,
	"slow-reader": slowReader,
	"evicted":     evicted,
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "the file for the record")
	keep := flag.Bool("keep", false, "keep the temporary folder with the routers' logs")
	flag.Parse()
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if !*keep {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	s := &stage{record: rec, runs: &runs{byID: make(map[string][]run)}, trouble: os.Getenv("TROUBLE") != "0", dir: dir}
	defer s.end()
	go s.endOnSignal()
	f := cases[*name]
	if f == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitNotRun
	}
	if s.store, err = newStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := f(s)
	if err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	}
	if len(broken) > 0 {
		rec.add("broken:\n%s", strings.Join(broken, "\n"))
		fmt.Printf("broken, %d times; the first: %s\n", len(broken), broken[0])
		return exitBroken
	}
	rec.add("held")
	fmt.Println("held")
	return exitHeld
}

// end kills the routers that the case has started.
func (s *stage) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.routers {
		r.kill()
	}
}

// endOnSignal ends the program and the routers when it is told to.
func (s *stage) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	<-signals
	s.end()
	_ = os.RemoveAll(s.dir)
	os.Exit(exitNotRun)
}

// startRouters starts routers once the store holds the configuration and the servers, and waits until they are ready.
func (s *stage) startRouters(n int, d deployment) error {
	s.mu.Lock()
	list, err := newRouters(n, d, s.dir, s.store.addr())
	s.routers = list
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return awaitReady(list)
}
