package report

import (
	"fmt"
	"html/template"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// section is the part of the page for one site. Plots are file names.
type section struct {
	Site   string
	Plots  []string
	Rounds []Round
}

// pageTemplate renders a list of sections. It refers to fields of section, Round
// and Entry by their names.
var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Rounds</title></head><body>
<h1>Rounds</h1>
{{range .}}<h2>{{.Site}}</h2>
{{range .Plots}}<img src="{{.}}" alt="{{.}}">
{{end}}<table border="1"><tr><th>round</th><th>time</th><th>score</th><th>days with a rule broken</th><th>what was tried</th></tr>
{{range $i, $r := .Rounds}}<tr><td>{{$i}}</td><td>{{$r.Entry.At.Format "2006-01-02 15:04"}}</td><td>{{printf "%.3f" $r.Entry.Score}}</td><td>{{$r.Broken}}</td><td>{{$r.Entry.Why}}</td></tr>
{{end}}</table>
{{end}}</body></html>
`))

// Write writes index.html and the plots of all sites to a folder, which it creates
// if necessary.
func Write(dir string, entries []Entry) error {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return eris.Wrap(err, "report folder")
	}
	var sections []section
	for _, site := range Sites(entries) {
		s := section{Site: site, Rounds: Rounds(entries, site)}
		for i, c := range Charts(s.Rounds) {
			name := fmt.Sprintf("%s-%d.png", filepath.Base(site), i)
			if err := savePlot(filepath.Join(dir, name), &c); err != nil {
				return eris.Wrapf(err, "plot %s", name)
			}
			s.Plots = append(s.Plots, name)
		}
		sections = append(sections, s)
	}
	f, err := os.Create(filepath.Join(dir, "index.html"))
	if err != nil {
		return eris.Wrap(err, "report page")
	}
	err = pageTemplate.Execute(f, sections)
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return eris.Wrap(err, "report page")
}

func savePlot(name string, c *Chart) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Title, "round", c.Unit
	p.Y.Min = 0
	p.Legend.Top = false
	var lines []any
	for _, s := range c.Series {
		points := make(plotter.XYs, len(s.Values))
		for i, v := range s.Values {
			points[i] = plotter.XY{X: float64(i), Y: v}
		}
		if len(points) > 0 {
			lines = append(lines, s.Name, points)
		}
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, name)
}
