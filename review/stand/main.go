// Command stand plays a case of the review: it starts a small deployment of router processes before stand-ins of the platform, servers and clients,
// brings about a disruption, and checks a rule by what clients, servers and the platform have seen. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// play is one run of a case.
type play struct {
	repo, dir string
	trouble   bool
	rec       *record
}

// result is what a case found.
type result struct {
	broken bool
	text   string
}

// cases holds the cases by name; each file of a case adds its own.
var cases = make(map[string]func(p *play) (result, error))

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	repo := flag.String("repo", ".", "the root of the repository, with target/ built")
	dir := flag.String("dir", "", "a directory for settings and logs")
	out := flag.String("record", "record.txt", "the file for the record")
	flag.Parse()
	f, ok := cases[*name]
	if !ok || *dir == "" {
		flag.Usage()
		return exitNotRun
	}
	settings, err := filepath.Abs(*dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	go endWhenInterrupted(rec)
	p := &play{repo: *repo, dir: settings, trouble: os.Getenv("TROUBLE") != "0", rec: rec}
	rec.log("case %s, trouble=%v", *name, p.trouble)
	r, err := f(p)
	if err != nil {
		rec.log("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	}
	rec.log("%s", r.text)
	fmt.Println(r.text)
	if r.broken {
		return exitBroken
	}
	return exitHeld
}

// maxTime bounds a case.
const maxTime = 115 * time.Second

// endWhenInterrupted ends the processes of a case that is interrupted or takes too long.
func endWhenInterrupted(rec *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxTime):
	}
	if f := started.Load(); f != nil {
		f.close()
	}
	rec.log("the case was interrupted")
	rec.close()
	os.Exit(exitNotRun)
}
