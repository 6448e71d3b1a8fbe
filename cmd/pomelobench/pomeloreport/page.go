package pomeloreport

import (
	"encoding/json"
	"html/template"
	"os"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/cmd/pomelobench/pomeloload"
)

// page is the data of the page template.
type page struct {
	Title      string
	Result     string
	Failures   []string
	Pools      []pomeloload.PoolResult
	Faults     []pomeloload.FaultMark
	Violations []string
	Plots      []template.HTML
}

const pageText = `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}table{border-collapse:collapse}td,th{border:1px solid #999;padding:.2em .6em}svg{max-width:100%;height:auto}pre{background:#eee;padding:1em;overflow:auto}</style>
</head><body>
<h1>{{.Title}}</h1>
{{if .Failures}}<p><strong>Failed checks:</strong> {{range .Failures}}{{.}} {{end}}</p>{{else}}<p>All checks passed.</p>{{end}}
<table><tr><th>Pool</th><th>Gap</th><th>Bound</th><th>Utilisation</th><th>Seconds with work waiting</th></tr>
{{range .Pools}}<tr><td>{{.Pool}}</td><td>{{printf "%.3f" .FairnessGap}}</td><td>{{printf "%.3f" .FairnessBound}}</td><td>{{printf "%.3f" .Utilisation}}</td><td>{{printf "%.1f" .WaitingSeconds}}</td></tr>
{{end}}</table>
{{range .Plots}}<p>{{.}}</p>
{{end}}
{{if .Faults}}<h2>Injected faults</h2><ul>{{range .Faults}}<li>{{.At.Format "15:04:05.000"}} {{.Text}}</li>{{end}}</ul>{{end}}
{{if .Violations}}<h2>Violations</h2><ul>{{range .Violations}}<li>{{.}}</li>{{end}}</ul>{{end}}
<h2>Result</h2><pre>{{.Result}}</pre>
</body></html>
`

// maxViolations is the maximum number of violations listed on a page.
const maxViolations = 100

// Write renders a report to an HTML file; it fails with CodeBenchRecord.
func Write(path, title string, report pomeloload.Report) error {
	p, err := newPage(title, report)
	if err != nil {
		return writeError(path, err)
	}
	file, err := os.Create(path)
	if err != nil {
		return writeError(path, err)
	}
	if err := template.Must(template.New("page").Parse(pageText)).Execute(file, p); err != nil {
		_ = file.Close()
		return writeError(path, err)
	}
	if err := file.Close(); err != nil {
		return writeError(path, err)
	}
	return nil
}

func writeError(path string, cause error) error {
	return pomelorelay.NewError(pomelorelay.CodeBenchRecord, path, cause)
}

func newPage(title string, report pomeloload.Report) (page, error) {
	result, err := json.MarshalIndent(report.Result, "", "  ")
	if err != nil {
		return page{}, err
	}
	p := page{Title: title, Result: string(result), Failures: report.Result.Failures(), Pools: report.Result.Pools, Faults: report.Faults}
	for _, v := range report.Violations[:min(len(report.Violations), maxViolations)] {
		p.Violations = append(p.Violations, v.String())
	}
	for _, c := range charts(report) {
		svg, err := c.draw(report)
		if err != nil {
			return page{}, err
		}
		p.Plots = append(p.Plots, template.HTML(svg))
	}
	return p, nil
}
