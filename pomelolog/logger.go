package pomelolog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/pomelorelay/pomelorelay"

	"github.com/phuslu/log"
)

// queueLength is the number of lines queued for a slow writer; further lines are dropped.
const queueLength = 4096

// Config configures a Logger.
type Config struct {
	Node  pomelorelay.NodeID
	Level pomelorelay.Level
	// Writer is the destination of the lines.
	Writer io.Writer
	// PerSecond limits the lines per second of each event; zero means 300.
	PerSecond int
	// Clock is the clock of the rate limit; nil means the system clock.
	Clock pomelorelay.Clock
}

// Logger implements pomelorelay.Logger with JSON lines.
type Logger struct {
	logger log.Logger
	async  *log.AsyncWriter
	bound  *bound
	clock  pomelorelay.Clock
	// lost counts the lines dropped because the queue was full, told those already logged as EventLinesLost.
	lost atomic.Uint64
	told atomic.Uint64
}

// New returns a Logger; Close flushes and stops it.
func New(cfg Config) *Logger {
	async := &log.AsyncWriter{
		ChannelSize:   queueLength,
		DiscardOnFull: true,
		Writer:        log.IOWriter{Writer: cfg.Writer},
	}
	l := &Logger{async: async, bound: newBound(cfg.PerSecond), clock: cfg.Clock}
	if l.clock == nil {
		l.clock = pomelorelay.SystemClock{}
	}
	l.logger = log.Logger{
		Level:      levelOf(cfg.Level),
		TimeField:  "Time",
		TimeFormat: time.RFC3339Nano,
		Context:    log.NewContext(nil).Str("Node", string(cfg.Node)).Value(),
		Writer:     log.WriterFunc(l.queue),
	}
	return l
}

// queue passes a line to the writer's goroutine without blocking.
func (l *Logger) queue(e *log.Entry) (int, error) {
	n, err := l.async.WriteEntry(e)
	if err != nil {
		l.lost.Add(1)
	}
	return n, err
}

// Lost returns the number of lines dropped because the queue was full.
func (l *Logger) Lost() uint64 { return l.lost.Load() }

// Log queues an event with its fields, unless the event's rate limit is exceeded; it never blocks.
func (l *Logger) Log(id pomelorelay.EventID, fields ...pomelorelay.Field) {
	ok, before := l.bound.take(l.clock.Now(), id)
	for _, b := range before {
		l.write(pomelorelay.EventLinesLeftOut, pomelorelay.Field{Key: "Of", Value: int(b.event)}, pomelorelay.Field{Key: "Lines", Value: b.lines})
	}
	if lost := l.lost.Load(); lost != l.told.Load() && l.told.Swap(lost) != lost {
		l.write(pomelorelay.EventLinesLost, pomelorelay.Field{Key: "Lines", Value: lost})
	}
	if ok {
		l.write(id, fields...)
	}
}

func (l *Logger) write(id pomelorelay.EventID, fields ...pomelorelay.Field) {
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

// closeWait bounds the wait for a blocked writer, so that log output cannot keep a process from exiting.
const closeWait = 500 * time.Millisecond

// Close writes the queued lines; it gives up after closeWait if the writer blocks.
func (l *Logger) Close() error {
	closed := make(chan error, 1)
	go func() { closed <- l.async.Close() }()
	select {
	case err := <-closed:
		return err
	case <-time.After(closeWait):
		return nil
	}
}

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
