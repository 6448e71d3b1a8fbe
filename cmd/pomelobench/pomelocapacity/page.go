package pomelocapacity

import (
	_ "embed"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/template"

	"github.com/pomelorelay/pomelorelay"

	"github.com/go-faster/errors"
)

//go:embed page.md.tmpl
var pageText string

// pageData is what the template shows.
type pageData struct {
	Figures
	Lines     []Line
	Sum       Line
	Fits      []Fitness
	Scenarios []Scenario
	Plots     []string
}

// Fitness is a sum beside what a node may spend.
type Fitness struct {
	What    string
	Used    string
	Allowed string
	Part    float64
}

// Verdict says in words whether the sum fits.
func (f Fitness) Verdict() string {
	if f.Part > 1 {
		return "**does not fit yet**"
	}
	return "fits"
}

// collectorRoom is the live heap's multiple up to which the garbage collector lets the heap grow at its default setting.
const collectorRoom = 2

func (f Figures) fits(sum Line) []Fitness {
	kib := func(n float64) string { return fmt.Sprintf("%.1f KB/s", n/1024) }
	mib := func(n float64) string { return fmt.Sprintf("%.1f MB", n/(1<<20)) }
	sent := sum.bytes()
	slow := sum.Core + sum.Messages*(f.Mesh.Slowest-f.Mesh.Core.First())
	return []Fitness{
		{"processor", fmt.Sprintf("%.2f%% of a core", sum.Core/1e4), fmt.Sprintf("%.1f%%", allowedCore*100), sum.Core / 1e6 / allowedCore},
		{"processor, with the slowest of the mesh's runs", fmt.Sprintf("%.2f%% of a core", slow/1e4), fmt.Sprintf("%.1f%%", allowedCore*100), slow / 1e6 / allowedCore},
		{"memory, live heap", mib(sum.Memory), mib(allowedMemory), sum.Memory / allowedMemory},
		{"memory, with the collector's default headroom", mib(collectorRoom * sum.Memory), mib(allowedMemory), collectorRoom * sum.Memory / allowedMemory},
		{"memory, live heap, of a router that keeps a claim shard", mib(sum.Memory + f.keeperMemory()), mib(allowedMemory), (sum.Memory + f.keeperMemory()) / allowedMemory},
		{"bytes sent to routers", kib(sent), kib(allowedBytes), sent / allowedBytes},
		{"bytes sent to routers, and to and from platform and load pages", kib(sent + sum.Platform), kib(allowedBytes), (sent + sum.Platform) / allowedBytes},
		{"bytes that a router which keeps a claim shard writes to the store", kib(f.keeperBytes()), kib(allowedBytes), f.keeperBytes() / allowedBytes},
		{"bytes sent and received, all of it", kib(2*sent + sum.Platform), kib(allowedBytes), (2*sent + sum.Platform) / allowedBytes},
	}
}

// Write writes the page and its plots into the folder of the docs.
func (f Figures) Write(docs string) error {
	plots, err := f.plot(filepath.Join(docs, "capacity"))
	if err != nil {
		return err
	}
	page, err := f.page(plots)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(docs, "CAPACITY.md"), []byte(page), 0o644); err != nil {
		return errors.Wrap(err, "write the capacity page")
	}
	return nil
}

func (f Figures) page(plots []string) (string, error) {
	functions := template.FuncMap{
		"kb":     func(n float64) string { return fmt.Sprintf("%.2f", n/1024) },
		"mb":     func(n float64) string { return fmt.Sprintf("%.2f", n/(1<<20)) },
		"n":      func(n float64) string { return fmt.Sprintf("%.4g", n) },
		"f1":     func(n float64) string { return fmt.Sprintf("%.1f", n) },
		"f2":     func(n float64) string { return fmt.Sprintf("%.2f", n) },
		"core":   func(n float64) string { return fmt.Sprintf("%.3f", n/1e4) },
		"points": points,
		"domain": func(l Line) float64 { return l.Sent[pomelorelay.LinkDomain] },
		"region": func(l Line) float64 { return l.Sent[pomelorelay.LinkRegion] },
		"cross":  func(l Line) float64 { return l.Sent[pomelorelay.LinkCross] },
	}
	t, err := template.New("page").Funcs(functions).Parse(pageText)
	if err != nil {
		return "", errors.Wrap(err, "read the page's template")
	}
	lines := f.Lines()
	sum := Sum(lines)
	var page strings.Builder
	data := pageData{Figures: f, Lines: lines, Sum: sum, Fits: f.fits(sum), Scenarios: f.scenarios(), Plots: plots}
	if err := t.Execute(&page, data); err != nil {
		return "", errors.Wrap(err, "fill in the page")
	}
	return page.String(), nil
}

// points lists the measured values.
func points(s Series) string {
	var list []string
	for _, p := range s.Slope.Points {
		list = append(list, fmt.Sprintf("%.0f: %.4g", p.Size, p.Value))
	}
	return strings.Join(list, ", ")
}
