package pomeloconfig

import (
	"os"

	"github.com/pomelorelay/pomelorelay"
)

// Settings are the settings of one router, read from a file at start.
type Settings struct {
	Host     HostSettings     `yaml:"Host"`
	Listen   ListenSettings   `yaml:"Listen"`
	Store    StoreSettings    `yaml:"Store"`
	HostList HostListSettings `yaml:"HostList"`
	Seeds    []Seed           `yaml:"Seeds"`
	TLS      TLSSettings      `yaml:"TLS"`
	Control  ControlSettings  `yaml:"Control"`
	Log      LogSettings      `yaml:"Log"`
	Limits   LimitSettings    `yaml:"Limits"`
}

// LoadSettings reads a router's settings from a file; it returns CodeFileUnreadable or the errors of ParseSettings, which name the file.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, pomelorelay.NewError(pomelorelay.CodeFileUnreadable, path, err)
	}
	return parseSettings(path, data)
}

// ParseSettings parses a router's settings, fills in the defaults and checks them. It returns CodeConfigSyntax,
// CodeConfigUnknownField or CodeSettingsInvalid; the error names line and fix.
func ParseSettings(data []byte) (Settings, error) { return parseSettings("settings", data) }

func parseSettings(file string, data []byte) (Settings, error) {
	var s Settings
	doc, err := readDocument(file, data, &s)
	if err != nil {
		return Settings{}, err
	}
	s.fillDefaults()
	problems := doc.locate(s.check())
	return s, problemsError(pomelorelay.CodeSettingsInvalid, problems)
}

func (s *Settings) fillDefaults() {
	s.Store.fillDefaults()
	s.HostList.fillDefaults(s.Store)
	s.Control.fillDefaults()
	s.Log.fillDefaults()
	s.Limits.fillDefaults()
}

func (s *Settings) check() []Problem {
	c := checker{code: pomelorelay.CodeSettingsInvalid}
	s.Host.check(&c)
	s.Listen.check(&c)
	s.Store.check(&c)
	s.HostList.check(&c)
	checkSeeds(&c, s.Seeds)
	s.TLS.check(&c)
	s.Control.check(&c)
	s.Log.check(&c)
	s.Limits.check(&c)
	return c.problems
}
