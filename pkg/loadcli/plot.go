package loadcli

import (
	"foldarch.dev/foldarch/pkg/load"
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot writes a PNG or SVG file that shows, for each second of the run, the completed requests, the refused
// requests and the longest waiting time.
func Plot(r *load.Result, path string) error {
	p := plot.New()
	p.Title.Text = "foldarch-load"
	p.X.Label.Text = "second of the run"
	p.Y.Label.Text = "requests a second, worst wait in ms"
	p.Legend.Top = true
	done, refused, wait := make(plotter.XYs, len(r.Timeline)), make(plotter.XYs, len(r.Timeline)), make(plotter.XYs, len(r.Timeline))
	for i, s := range r.Timeline {
		done[i] = plotter.XY{X: float64(i), Y: float64(s.Done)}
		refused[i] = plotter.XY{X: float64(i), Y: float64(s.Refused)}
		wait[i] = plotter.XY{X: float64(i), Y: s.WorstWait}
	}
	if err := plotutil.AddLines(p, "done", done, "refused", refused, "worst wait", wait); err != nil {
		return errors.Wrap(err, "plot")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "plot")
}
