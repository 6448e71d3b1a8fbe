package pomeloconfig

import "github.com/pomelorelay/pomelorelay"

// LogSettings configures logging.
type LogSettings struct {
	// Level is the lowest level that is logged.
	Level pomelorelay.Level `yaml:"Level"`
}

func (l *LogSettings) fillDefaults() {
	if l.Level == "" {
		l.Level = pomelorelay.LevelInfo
	}
}

func (l LogSettings) check(c *checker) {
	switch l.Level {
	case pomelorelay.LevelDebug, pomelorelay.LevelInfo, pomelorelay.LevelWarn, pomelorelay.LevelError:
	default:
		c.add("Log.Level", "the level "+quote(string(l.Level))+" is not known", "use debug, info, warn or error")
	}
}
