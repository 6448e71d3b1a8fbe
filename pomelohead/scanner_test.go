package pomelohead_test

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/pomelorelay/pomelorelay/pomelohead"

	"pgregory.net/rapid"
)

// malformed maps the beginning of an answer to the error that it causes.
var malformed = map[string]error{
	"HTTP/1.1 000 X\r\n":                       pomelohead.ErrStatus,
	"HTTP/1.1 001 X\r\n":                       pomelohead.ErrStatus,
	"HTTP/1.1 099 X\r\n":                       pomelohead.ErrStatus,
	"HTTP/1.1 600 X\r\n":                       pomelohead.ErrStatus,
	"HTTP/1.1 999 X\r\n":                       pomelohead.ErrStatus,
	"HTTP/1.1 +20 X\r\n":                       pomelohead.ErrStatusLine,
	"HTTP/1.1 -00 X\r\n":                       pomelohead.ErrStatusLine,
	"HTTP/1.1 20 X\r\n":                        pomelohead.ErrStatusLine,
	"HTTP/1.1 2000 X\r\n":                      pomelohead.ErrStatusLine,
	"HTTP/1.1 2x0 X\r\n":                       pomelohead.ErrStatusLine,
	"HTTP/1.1  200 X\r\n":                      pomelohead.ErrStatusLine,
	"HTTP/1.1\t200 X\r\n":                      pomelohead.ErrStatusLine,
	"HTTP/11 200 X\r\n":                        pomelohead.ErrStatusLine,
	"HTTP/1.1 200\tX\r\n":                      pomelohead.ErrStatusLine,
	"HTTP/1.1 200 X\x00":                       pomelohead.ErrStatusLine,
	"HTTP/1.1 200 X\rY":                        pomelohead.ErrStatusLine,
	"\r\nHTTP/1.1 200 X":                       pomelohead.ErrStatusLine,
	"garbage":                                  pomelohead.ErrStatusLine,
	field("X Foo: y"):                          pomelohead.ErrFieldName,
	field("X-Foo : y"):                         pomelohead.ErrFieldName,
	field("X-Foo\t: y"):                        pomelohead.ErrFieldName,
	field("X\x00Foo: y"):                       pomelohead.ErrFieldName,
	field("X\x7fFoo: y"):                       pomelohead.ErrFieldName,
	field("X\xe9Foo: y"):                       pomelohead.ErrFieldName,
	field("X\rFoo: y"):                         pomelohead.ErrFieldName,
	field("X(Foo): y"):                         pomelohead.ErrFieldName,
	field(": y"):                               pomelohead.ErrFieldName,
	field("no colon"):                          pomelohead.ErrFieldName,
	field("NoColon"):                           pomelohead.ErrFieldName,
	field("\rX-Foo: y"):                        pomelohead.ErrFieldName,
	field("X-Foo: \x00"):                       pomelohead.ErrFieldValue,
	field("X-Foo: a\rb"):                       pomelohead.ErrFieldValue,
	field("X-Foo: a\x7f"):                      pomelohead.ErrFieldValue,
	field(" X-Foo: y"):                         pomelohead.ErrFolded,
	field("\tX-Foo: y"):                        pomelohead.ErrFolded,
	field(" "):                                 pomelohead.ErrFolded,
	"HTTP/1.1 200 X\r\n a":                     pomelohead.ErrFolded,
	"HTTP/1.1 102 X\r\n\r\nHTTP/1.1 000 X\r\n": pomelohead.ErrStatus,
	"HTTP/1.1 102 X\r\nX Foo: y\r\n\r\n":       pomelohead.ErrFieldName,
}

func field(line string) string { return "HTTP/1.1 200 OK\r\nSigned-By: me\r\n" + line + "\r\n\r\n" }

// Guards against accepting a head that is none, also where it arrives in pieces.
func TestMalformedHeadIsFound(t *testing.T) {
	for text, want := range malformed {
		for at := range len(text) {
			var s pomelohead.Scanner
			_ = s.Scan([]byte(text[:at]))
			if err := s.Scan([]byte(text[at:])); !errors.Is(err, want) || !errors.Is(s.Err(), want) || s.Done() {
				t.Errorf("%q in pieces of %d and %d bytes: error %v, want %v", text, at, len(text)-at, err, want)
			}
		}
	}
}

// Guards against failing the head of a sound answer, and against reading its body as a part of the head.
func TestHeadEndsAtItsBlankLine(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200\r\n\r\n",
		"HTTP/1.1 200 \r\n\r\n",
		"HTTP/1.0 599 caf\xe9 \t\r\nX-Foo:\r\n\r\n",
		"HTTP/1.1 204 No Content\nX-Foo: a\tb: c \xe9\n\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 X\r\nA: b\r\n\r\nHTTP/1.1 404 X\r\nA!#$%&'*+-.^_`|~1: b\r\n\r\n",
	} {
		text := head + " body\x00: y\r\n"
		for at := range len(text) {
			var s pomelohead.Scanner
			first, second := s.Scan([]byte(text[:at])), s.Scan([]byte(text[at:]))
			if first != nil || second != nil || !s.Done() {
				t.Errorf("%q in pieces of %d and %d bytes: errors %v and %v, complete %v", text, at, len(text)-at, first, second, s.Done())
			}
		}
		var s pomelohead.Scanner
		for at := range len(head) {
			if s.Done() {
				t.Errorf("%q: the head is complete after %d bytes", head, at)
			}
			_ = s.Scan([]byte(head[at : at+1]))
		}
	}
}

// Guards against a head of many short fields, which take many times their bytes once they are parsed.
func TestFieldsAreLimited(t *testing.T) {
	const interim = "HTTP/1.1 102 X\r\na:\r\n\r\n"
	for _, c := range []struct {
		before string
		fields int
		want   error
	}{
		{"", pomelohead.MaxFields, nil},
		{"", pomelohead.MaxFields + 1, pomelohead.ErrFields},
		{interim, pomelohead.MaxFields - 1, nil},
		{interim, pomelohead.MaxFields, pomelohead.ErrFields},
	} {
		var s pomelohead.Scanner
		err := s.Scan([]byte(c.before + "HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", c.fields) + "\r\n"))
		if !errors.Is(err, c.want) || s.Done() != (c.want == nil) {
			t.Errorf("%d fields after %q: error %v, want %v", c.fields, c.before, err, c.want)
		}
	}
}

// Guards against a head whose end the scanner sees at another place than the parser that reads the answer.
func TestHeadEndsWhereTheParserEndsIt(t *testing.T) {
	pieces := []string{"HTTP/1.1 200 OK", "HTTP/1.1 103 X", "\r\n", "\n", "\r", " ", "\t", ":", "X-Foo: y", "X-Foo:", "Content-Length: 2", "Transfer-Encoding: chunked", "\x00", "000"}
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 12).Draw(t, "parts")
		text := "HTTP/1.1 200 OK\r\n" + strings.Join(parts, "") + "\r\n\r\n2\r\nok\r\n0\r\n\r\n"
		var s pomelohead.Scanner
		end := 0
		for ; end < len(text) && !s.Done(); end++ {
			if s.Scan([]byte(text[end:end+1])) != nil {
				return
			}
		}
		r := bufio.NewReader(strings.NewReader(text))
		if _, err := http.ReadResponse(r, nil); err != nil || !s.Done() {
			return
		}
		if parsed := len(text) - r.Buffered(); parsed != end {
			t.Errorf("%q: the head ends after %d bytes, the parser reads %d", text, end, parsed)
		}
	})
}

// Guards against taking an answer that a client of net/http accepts for a sound one.
func TestParsedHeadIsChecked(t *testing.T) {
	for status, sound := range map[int]bool{0: false, 99: false, 101: false, 199: false, 200: true, 404: true, 599: true, 600: false, 999: false} {
		if err := pomelohead.CheckParsed(&http.Response{StatusCode: status}); (err == nil) != sound {
			t.Errorf("status %d: error %v, want none: %v", status, err, sound)
		}
	}
	for _, name := range []string{"X Foo", "X-Foo ", "", "X\x01"} {
		err := pomelohead.CheckParsed(&http.Response{StatusCode: 200, Header: http.Header{name: {"y"}}})
		if !errors.Is(err, pomelohead.ErrFieldName) {
			t.Errorf("name %s: error %v, want ErrFieldName", fmt.Sprintf("%q", name), err)
		}
	}
}
