package pomeloreport

import (
	"bytes"
	"cmp"
	"image/color"
	"slices"

	"github.com/pomelorelay/pomelorelay/cmd/pomelobench/pomeloload"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 2.6 * vg.Inch
	// headroom is the ratio of the y range to the highest value, which leaves space for the legend and the fault labels.
	headroom = 1.6
)

var faultColour = color.RGBA{R: 180, G: 40, B: 40, A: 255}

// series is a named function from samples to plotted values.
type series struct {
	name  string
	value func(pomeloload.Sample) float64
}

// chart is a plot of one or more series over the seconds of a run.
type chart struct {
	title  string
	unit   string
	series []series
}

// charts returns the charts of a page.
func charts(report pomeloload.Report) []chart {
	gaps := chart{title: "Fairness gap over the last 5 s, relative to the bound", unit: "gap / bound"}
	utilisation := chart{title: "Utilisation while work waited", unit: "busy / slots"}
	for _, p := range report.Result.Pools {
		if p.FairnessBound > 0 {
			gaps.series = append(gaps.series, series{string(p.Pool), func(s pomeloload.Sample) float64 { return float64(s.Gaps[p.Pool] / p.FairnessBound) }})
		}
		utilisation.series = append(utilisation.series, series{string(p.Pool), func(s pomeloload.Sample) float64 { return s.Utilisation[p.Pool] }})
	}
	return []chart{gaps, utilisation,
		{"Control traffic", "bytes / s", []series{
			{"per node", func(s pomeloload.Sample) float64 { return s.ControlBytesPerNode }},
			{"between regions", func(s pomeloload.Sample) float64 { return s.ControlBytesCrossRegion }},
		}},
		{"Latency, queueing included", "ms", []series{
			{"first byte p50", func(s pomeloload.Sample) float64 { return s.FirstByteP50Milliseconds }},
			{"p50", func(s pomeloload.Sample) float64 { return s.LatencyP50Milliseconds }},
			{"p99", func(s pomeloload.Sample) float64 { return s.LatencyP99Milliseconds }},
		}},
		{"Completed attempts", "attempts / s", []series{
			{"answered", func(s pomeloload.Sample) float64 { return float64(s.Answers) }},
			{"refused", func(s pomeloload.Sample) float64 { return float64(s.Refusals) }},
			{"broken", func(s pomeloload.Sample) float64 { return float64(s.Broken) }},
		}},
	}
}

// draw returns the chart as an SVG element.
func (c chart) draw(report pomeloload.Report) (string, error) {
	p := plot.New()
	p.Title.Text = c.title
	p.X.Label.Text = "s"
	p.Y.Label.Text = c.unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	highest := 0.0
	for i, s := range c.series {
		points := s.points(report.Samples)
		for _, point := range points {
			highest = max(highest, point.Y)
		}
		plotted, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		plotted.Color = plotutil.Color(i)
		p.Add(plotted)
		p.Legend.Add(s.name, plotted)
	}
	if highest == 0 {
		highest = 1
	}
	if err := drawFaults(p, report, highest); err != nil {
		return "", err
	}
	p.Y.Max = highest * headroom
	return render(p)
}

func (l series) points(samples []pomeloload.Sample) plotter.XYs {
	points := make(plotter.XYs, len(samples))
	for i, s := range samples {
		points[i].X = float64(s.Second)
		points[i].Y = l.value(s)
	}
	return points
}

// drawFaults draws a labelled vertical line at the time of each fault.
func drawFaults(p *plot.Plot, report pomeloload.Report, highest float64) error {
	if len(report.Samples) == 0 {
		return nil
	}
	first := slices.MinFunc(report.Samples, func(a, b pomeloload.Sample) int { return cmp.Compare(a.Second, b.Second) })
	names := plotter.XYLabels{}
	for _, f := range report.Faults {
		x := float64(first.Second) + f.At.Sub(first.At).Seconds()
		marker, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: highest * headroom}})
		if err != nil {
			return err
		}
		marker.Color = faultColour
		marker.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(marker)
		names.XYs = append(names.XYs, plotter.XY{X: x, Y: highest * 1.1})
		names.Labels = append(names.Labels, " "+f.Text)
	}
	if len(names.Labels) == 0 {
		return nil
	}
	labels, err := plotter.NewLabels(names)
	if err != nil {
		return err
	}
	p.Add(labels)
	return nil
}

func render(p *plot.Plot) (string, error) {
	w, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var svg bytes.Buffer
	if _, err := w.WriteTo(&svg); err != nil {
		return "", err
	}
	// The XML declaration in front of the element is not allowed inside an HTML page.
	_, body, found := bytes.Cut(svg.Bytes(), []byte("<svg"))
	if !found {
		return "", nil
	}
	return "<svg" + string(body), nil
}
