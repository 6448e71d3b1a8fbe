package main

import (
	"fmt"
	"os"

	"github.com/pomelorelay/pomelorelay"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes of the process.
const (
	exitSettings = 2
	exitListen   = 3
	exitRun      = 4
)

func main() {
	app := kingpin.New("pomelorelayd", "A router of the pomelorelay fleet.")
	registerRun(app)
	registerEntry(app)
	registerCheck(app)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "pomelorelayd:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	switch pomelorelay.CodeOf(err) {
	case pomelorelay.CodeCannotListen, pomelorelay.CodeMeshListen, pomelorelay.CodeMeshTLS:
		return exitListen
	case pomelorelay.CodeStopLate, pomelorelay.CodeInternal:
		return exitRun
	}
	return exitSettings
}
