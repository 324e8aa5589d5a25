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

// WritePlot writes an SVG with four panels: bytes, messages, processor time and memory of a router against the size of its
// site, with a line for each experiment and one for the ceiling.
func WritePlot(path string, rows []Row) error {
	const side = 12 * vg.Centimeter
	canvas := vgsvg.New(2*side, 2*side)
	tiles := draw.Tiles{Rows: 2, Cols: 2, PadX: vg.Centimeter / 2, PadY: vg.Centimeter / 2,
		PadTop: vg.Centimeter / 4, PadRight: vg.Centimeter / 4}
	panels := []struct {
		measure, title string
		ceiling        float64
	}{{"out_bytes_s", "bytes sent a second", MaxBytesPerSecond}, {"notes_s", "notes sent a second", 0},
		{"core_pct", "percent of a core", MaxCorePercent}, {"heap_kb", "heap, KB", 0}}
	var grid [][]*plot.Plot
	for i := range 2 {
		var row []*plot.Plot
		for _, x := range panels[2*i : 2*i+2] {
			p, err := panel(rows, x.measure, x.title, x.ceiling)
			if err != nil {
				return err
			}
			row = append(row, p)
		}
		grid = append(grid, row)
	}
	canvases := plot.Align(grid, tiles, draw.New(canvas))
	for i := range grid {
		for j := range grid[i] {
			grid[i][j].Draw(canvases[i][j])
		}
	}
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("scaletest: %w", err)
	}
	if _, err = canvas.WriteTo(f); err == nil {
		err = f.Close()
	}
	if err != nil {
		return fmt.Errorf("scaletest: %w", err)
	}
	return nil
}

// panel returns the chart of one measure, with a line at the ceiling if there is one.
func panel(rows []Row, measure, title string, ceiling float64) (*plot.Plot, error) {
	chart := plot.New()
	chart.Title.Text, chart.X.Label.Text = "a router: "+title, "routers of the site"
	chart.Legend.Top, chart.Legend.Left = true, true
	chart.Y.Min = 0
	var maxSize int
	for i, e := range Experiments {
		var points plotter.XYs
		for _, r := range rows {
			if r.Experiment == e.Name && r.Role == "router" && r.Part == "all" {
				points = append(points, plotter.XY{X: float64(r.Size),
					Y: valueAt(rows, FittedLine{Experiment: e.Name, Role: "router", Part: "all", Measure: measure}, r.Size)})
				maxSize = max(maxSize, r.Size)
			}
		}
		if len(points) == 0 {
			continue
		}
		line, markers, err := plotter.NewLinePoints(points)
		if err != nil {
			return nil, fmt.Errorf("scaletest: %w", err)
		}
		line.Color, markers.Color, markers.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		chart.Add(line, markers)
		chart.Legend.Add(e.Name, line, markers)
	}
	if ceiling > 0 {
		line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: ceiling}, {X: float64(maxSize), Y: ceiling}})
		if err != nil {
			return nil, fmt.Errorf("scaletest: %w", err)
		}
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		chart.Add(line)
		chart.Legend.Add("ceiling", line)
	}
	return chart, nil
}
