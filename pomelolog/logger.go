package pomelolog

import (
	"fmt"
	"io"
	"time"

	"github.com/pomelorelay/pomelorelay"

	"github.com/phuslu/log"
)

// queueLength is the number of lines that may wait for a slow writer; further ones are dropped.
const queueLength = 4096

// Config holds what a Logger needs.
type Config struct {
	Node  pomelorelay.NodeID
	Level pomelorelay.Level
	// Writer takes the lines.
	Writer io.Writer
}

// Logger implements pomelorelay.Logger.
type Logger struct {
	logger log.Logger
	async  *log.AsyncWriter
}

// New returns a Logger; Close flushes it.
func New(cfg Config) *Logger {
	async := &log.AsyncWriter{
		ChannelSize:   queueLength,
		DiscardOnFull: true,
		Writer:        log.IOWriter{Writer: cfg.Writer},
	}
	l := &Logger{async: async}
	l.logger = log.Logger{
		Level:      levelOf(cfg.Level),
		TimeField:  "Time",
		TimeFormat: time.RFC3339Nano,
		Context:    log.NewContext(nil).Str("Node", string(cfg.Node)).Value(),
		Writer:     async,
	}
	return l
}

// Log writes an event with its fields; it never blocks.
func (l *Logger) Log(id pomelorelay.EventID, fields ...pomelorelay.Field) {
	info := id.Info()
	entry := l.logger.WithLevel(levelOf(info.Level))
	if entry == nil {
		return
	}
	entry = entry.Int("Event", int(id)).Str("Name", info.Name)
	for _, f := range fields {
		entry = addField(entry, f)
	}
	entry.Msg("")
}

// Close writes what waits.
func (l *Logger) Close() error { return l.async.Close() }

func addField(e *log.Entry, f pomelorelay.Field) *log.Entry {
	switch v := f.Value.(type) {
	case string:
		return e.Str(f.Key, v)
	case error:
		return e.Str(f.Key, v.Error())
	case fmt.Stringer:
		return e.Str(f.Key, v.String())
	}
	return e.Any(f.Key, f.Value)
}

func levelOf(level pomelorelay.Level) log.Level {
	switch level {
	case pomelorelay.LevelDebug:
		return log.DebugLevel
	case pomelorelay.LevelWarn:
		return log.WarnLevel
	case pomelorelay.LevelError:
		return log.ErrorLevel
	}
	return log.InfoLevel
}
