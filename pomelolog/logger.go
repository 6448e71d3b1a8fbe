package pomelolog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/pomelorelay/pomelorelay"

	"github.com/phuslu/log"
)

// queueLength is the maximum number of lines queued for a slow writer; further lines are dropped.
const queueLength = 4096

// Config configures a Logger.
type Config struct {
	Node  pomelorelay.NodeID
	Level pomelorelay.Level
	// Writer is the destination of the lines.
	Writer io.Writer
	// MaxPerSecond limits the number of lines per second of each event; zero means 300.
	MaxPerSecond int
	// Clock is the clock of the rate limit; nil means the system clock.
	Clock pomelorelay.Clock
}

// Logger implements pomelorelay.Logger with JSON lines.
type Logger struct {
	logger  log.Logger
	async   *log.AsyncWriter
	limiter *limiter
	clock   pomelorelay.Clock
	// dropped is the number of lines dropped because the queue was full, droppedLogged the number last reported by EventLinesLost.
	dropped       atomic.Uint64
	droppedLogged atomic.Uint64
}

// New returns a Logger; Close flushes and stops it.
func New(cfg Config) *Logger {
	async := &log.AsyncWriter{
		ChannelSize:   queueLength,
		DiscardOnFull: true,
		Writer:        newBatchWriter(cfg.Writer),
	}
	l := &Logger{async: async, limiter: newLimiter(cfg.MaxPerSecond), clock: cfg.Clock}
	if l.clock == nil {
		l.clock = pomelorelay.SystemClock{}
	}
	l.logger = log.Logger{
		Level:      levelOf(cfg.Level),
		TimeField:  "Time",
		TimeFormat: time.RFC3339Nano,
		Context:    log.NewContext(nil).Str("Node", string(cfg.Node)).Value(),
		Writer:     log.WriterFunc(l.enqueue),
	}
	return l
}

// enqueue passes a line to the writer's goroutine without blocking.
func (l *Logger) enqueue(e *log.Entry) (int, error) {
	n, err := l.async.WriteEntry(e)
	if err != nil {
		l.dropped.Add(1)
	}
	return n, err
}

// DroppedLines returns the number of lines dropped because the queue was full.
func (l *Logger) DroppedLines() uint64 { return l.dropped.Load() }

// Log queues an event with its fields, unless the event's rate limit is exceeded; it never blocks.
func (l *Logger) Log(id pomelorelay.EventID, fields ...pomelorelay.Field) {
	ok, suppressed := l.limiter.allow(l.clock.Now(), id)
	for _, s := range suppressed {
		l.write(pomelorelay.EventLinesLeftOut, pomelorelay.Field{Key: "Of", Value: int(s.event)}, pomelorelay.Field{Key: "Lines", Value: s.count})
	}
	if dropped := l.dropped.Load(); dropped != l.droppedLogged.Load() && l.droppedLogged.Swap(dropped) != dropped {
		l.write(pomelorelay.EventLinesLost, pomelorelay.Field{Key: "Lines", Value: dropped})
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

// closeTimeout bounds the wait for a blocked writer, so that log output cannot keep a process from exiting.
const closeTimeout = 500 * time.Millisecond

// Close writes the queued lines; it gives up after closeTimeout if the writer blocks.
func (l *Logger) Close() error {
	closed := make(chan error, 1)
	go func() { closed <- l.async.Close() }()
	select {
	case err := <-closed:
		return err
	case <-time.After(closeTimeout):
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
