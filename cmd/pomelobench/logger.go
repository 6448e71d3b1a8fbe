package main

import (
	"os"

	"github.com/pomelorelay/pomelorelay"

	"github.com/phuslu/log"
)

// logger implements pomelorelay.Logger with JSON lines on standard error.
type logger struct {
	out *log.Logger
}

func newLogger() logger {
	return logger{out: &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: os.Stderr}}}
}

// Log writes the event and its fields as one line.
func (l logger) Log(id pomelorelay.EventID, fields ...pomelorelay.Field) {
	info := id.Info()
	entry := l.out.Info().Int("Event", int(id)).Str("Name", info.Name)
	for _, f := range fields {
		entry = entry.Any(f.Key, f.Value)
	}
	entry.Msg(info.Meaning)
}
