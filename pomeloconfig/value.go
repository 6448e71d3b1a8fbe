package pomeloconfig

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/goccy/go-yaml"
)

// valueError reports a value that cannot be parsed.
type valueError struct {
	line int
	text string
	fix  string
}

func (e *valueError) Error() string { return quote(e.text) + " cannot be read; " + e.fix }

// valueReader parses addresses and durations and records the first invalid one, because the YAML library would report it
// without a line number.
type valueReader struct {
	data       []byte
	firstError *valueError
}

func (r *valueReader) readAddress(address *netip.AddrPort, source []byte) error {
	text, err := decodeText(source)
	if err != nil || text == "" {
		return err
	}
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		r.fail(text, "give an IP number and a port, as in 10.0.0.1:8080")
		return nil
	}
	*address = parsed
	return nil
}

func (r *valueReader) readDuration(d *time.Duration, source []byte) error {
	text, err := decodeText(source)
	if err != nil || text == "" {
		return err
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		r.fail(text, "give a duration with its unit, as in 500ms or 1m30s")
		return nil
	}
	*d = parsed
	return nil
}

func decodeText(source []byte) (string, error) {
	var text string
	err := yaml.Unmarshal(source, &text)
	return text, err
}

// fail records the error and takes the first line that contains the text as the value's line.
func (r *valueReader) fail(text, fix string) {
	if r.firstError != nil {
		return
	}
	before, _, _ := bytes.Cut(r.data, []byte(text))
	r.firstError = &valueError{line: 1 + bytes.Count(before, []byte("\n")), text: text, fix: fix}
}
