package pomelocapacity

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 4 * vg.Inch
	plotHeight = 2.5 * vg.Inch
)

// plotted are the slopes that the page shows as pictures.
func (f Figures) plotted() []Series {
	return []Series{f.Slots.CoreByRouters, f.Slots.MessagesByRouters, f.Members.Messages, f.Members.Core, f.Ledger.HostMemory, f.Entry.Memory, f.Claims.Writes, f.Mesh.Core}
}

// plot draws the slopes into a folder and returns the files' names.
func (f Figures) plot(folder string) ([]string, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, errors.Wrap(err, "make the folder of plots")
	}
	var names []string
	for _, s := range f.plotted() {
		name := fileName(s)
		if err := s.draw(filepath.Join(folder, name)); err != nil {
			return nil, err
		}
		names = append(names, name)
	}
	return names, nil
}

func fileName(s Series) string {
	words := strings.FieldsFunc(strings.ToLower(s.Role+" "+s.Figure+" by "+s.Size), func(r rune) bool { return r < 'a' || r > 'z' })
	return strings.Join(words, "-") + ".png"
}

func (s Series) draw(file string) error {
	p := plot.New()
	p.Title.Text = s.Role
	p.X.Label.Text = s.Size
	p.Y.Label.Text = s.Figure + ", " + s.Unit
	var measured plotter.XYs
	for _, point := range s.Slope.Points {
		measured = append(measured, plotter.XY{X: point.Size, Y: point.Value})
	}
	dots, err := plotter.NewScatter(measured)
	if err != nil {
		return errors.Wrap(err, "plot the measured points")
	}
	first, last := measured[0].X, measured[len(measured)-1].X
	line, err := plotter.NewLine(plotter.XYs{{X: first, Y: s.Slope.At(first)}, {X: last, Y: s.Slope.At(last)}})
	if err != nil {
		return errors.Wrap(err, "plot the line")
	}
	p.Add(dots, line)
	p.Y.Min = min(p.Y.Min, 0)
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return errors.Wrap(err, "save a plot")
	}
	return nil
}
