package pomeloconfig

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

const (
	maxNameBytes     = 128
	maxProblemsShown = 20
)

// Problem is one fault of a document and how to fix it.
type Problem struct {
	Code pomelorelay.ResultCode
	// File and Line locate the entry; Line is zero when the entry is not in the file, and File is empty when there is no file.
	File string
	Line int
	// Path is the path of the entry, such as Accounts[3].Share.
	Path   string
	Detail string
	Fix    string
}

// String formats the problem as one line.
func (p Problem) String() string {
	text := p.Path + ": " + p.Detail + "; " + p.Fix
	if p.File == "" {
		return text
	}
	if p.Line == 0 {
		return p.File + ": " + text
	}
	return p.File + ":" + strconv.Itoa(p.Line) + ": " + text
}

// problemsError returns nil if there are no problems, otherwise an error with the code and the first maxProblemsShown problems.
func problemsError(code pomelorelay.ResultCode, problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	lines := make([]string, 0, maxProblemsShown+1)
	for i, problem := range problems {
		if i == maxProblemsShown {
			lines = append(lines, fmt.Sprintf("and %d more", len(problems)-i))
			break
		}
		lines = append(lines, problem.String())
	}
	return pomelorelay.NewError(code, strings.Join(lines, "\n"), nil)
}

// checker collects problems.
type checker struct {
	code     pomelorelay.ResultCode
	problems []Problem
}

func (c *checker) add(path, detail, fix string) {
	c.problems = append(c.problems, Problem{Code: c.code, Path: path, Detail: detail, Fix: fix})
}

func (c *checker) name(path, name string) {
	switch {
	case name == "":
		c.add(path, "it is missing", "give a name")
	case len(name) > maxNameBytes:
		c.add(path, fmt.Sprintf("it has %d bytes", len(name)), fmt.Sprintf("use at most %d", maxNameBytes))
	case strings.ContainsFunc(name, invalidInName):
		c.add(path, quote(name)+" has a character that names may not have", "use letters, digits, '-', '_' and '.'")
	}
}

func invalidInName(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
	return !letter && r != '-' && r != '_' && r != '.'
}

func (c *checker) unique(seen map[string]string, path, name string) {
	if name == "" {
		return
	}
	if first, ok := seen[name]; ok {
		c.add(path, quote(name)+" is already used at "+first, "rename or remove one of the two")
		return
	}
	seen[name] = path
}

func (c *checker) address(path string, address netip.AddrPort) {
	if !address.IsValid() {
		c.add(path, "it is missing", "give an IP number and a port, as in 10.0.0.1:8080")
	}
}

func (c *checker) duration(path string, d, low, high time.Duration) {
	if d < low || d > high {
		c.add(path, d.String()+" is out of bounds", "use "+low.String()+" to "+high.String())
	}
}

func (c *checker) bytes(path string, b, low, high pomelorelay.Bytes) {
	if b < low || b > high {
		c.add(path, fmt.Sprintf("%d bytes are out of bounds", b), fmt.Sprintf("use %d to %d", low, high))
	}
}

// number also rejects NaN, for which both comparisons are false.
func (c *checker) number(path string, n, low, high float64) {
	if !(n >= low && n <= high) {
		c.add(path, fmt.Sprintf("%g is out of bounds", n), fmt.Sprintf("use %g to %g", low, high))
	}
}

func indexedPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

func quote(text string) string { return strconv.Quote(text) }
