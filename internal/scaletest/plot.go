package scaletest

import (
	"fmt"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// WritePlot draws four panels, bytes, notes, processor time and memory of a router against the size of its site, a line for
// each experiment, and the ceilings.
func WritePlot(path string, rows []Row) error {
	const side = 12 * vg.Centimeter
	c := vgsvg.New(2*side, 2*side)
	tiles := draw.Tiles{Rows: 2, Cols: 2, PadX: vg.Centimeter / 2, PadY: vg.Centimeter / 2, PadTop: vg.Centimeter / 4, PadRight: vg.Centimeter / 4}
	panels := []struct {
		measure, title string
		most           float64
	}{{"out_bytes_s", "bytes sent a second", MaxBytesPerSecond}, {"notes_s", "notes sent a second", 0}, {"core_pct", "percent of a core", MaxCorePercent}, {"heap_kb", "heap, KB", 0}}
	var grid [][]*plot.Plot
	for i := range 2 {
		var l []*plot.Plot
		for _, x := range panels[2*i : 2*i+2] {
			p, err := panel(rows, x.measure, x.title, x.most)
			if err != nil {
				return err
			}
			l = append(l, p)
		}
		grid = append(grid, l)
	}
	canvases := plot.Align(grid, tiles, draw.New(c))
	for i := range grid {
		for j := range grid[i] {
			grid[i][j].Draw(canvases[i][j])
		}
	}
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("hollow: %w", err)
	}
	if _, err = c.WriteTo(f); err == nil {
		err = f.Close()
	}
	if err != nil {
		return fmt.Errorf("hollow: %w", err)
	}
	return nil
}

func panel(rows []Row, measure, title string, most float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text = "a router: "+title, "routers of the site"
	p.Legend.Top, p.Legend.Left = true, true
	p.Y.Min = 0
	var last int
	for i, e := range Experiments {
		var xy plotter.XYs
		for _, r := range rows {
			if r.Experiment == e.Name && r.Role == "router" && r.Part == "all" {
				xy = append(xy, plotter.XY{X: float64(r.Size), Y: at(rows, FittedLine{Experiment: e.Name, Role: "router", Part: "all", Measure: measure}, r.Size)})
				last = max(last, r.Size)
			}
		}
		if len(xy) == 0 {
			continue
		}
		l, pts, err := plotter.NewLinePoints(xy)
		if err != nil {
			return nil, fmt.Errorf("hollow: %w", err)
		}
		l.Color, pts.Color, pts.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		p.Add(l, pts)
		p.Legend.Add(e.Name, l, pts)
	}
	if most > 0 {
		l, err := plotter.NewLine(plotter.XYs{{X: 0, Y: most}, {X: float64(last), Y: most}})
		if err != nil {
			return nil, fmt.Errorf("hollow: %w", err)
		}
		l.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		p.Add(l)
		p.Legend.Add("ceiling", l)
	}
	return p, nil
}
