package scaletest

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"

	"gonum.org/v1/gonum/stat"
)

// Ceilings of control on one node.
const (
	MaxCorePercent    = 4.2            // percent of a core
	MaxBytesPerSecond = 9 * 1024       // a second
	MaxHeapKB         = 256 * 1024     // KB
	maxFittedSize     = 100 * FullSize // beyond it a line that was fitted says nothing
	FullSize          = 400
)

// measures are the columns that lines are fitted to.
var measures = []struct {
	name string
	most float64
	of   func(Row) float64
}{
	{"notes_s", 0, func(r Row) float64 { return r.Messages }},
	{"out_bytes_s", MaxBytesPerSecond, func(r Row) float64 { return r.BytesOut }},
	{"in_bytes_s", MaxBytesPerSecond, func(r Row) float64 { return r.BytesIn }},
	{"most_bytes_s", MaxBytesPerSecond, func(r Row) float64 { return r.MaxNodeBytes }},
	{"core_pct", MaxCorePercent, func(r Row) float64 { return r.CorePercent }},
	{"heap_kb", MaxHeapKB, func(r Row) float64 { return r.HeapKB }},
	{"syncs_s", 0, func(r Row) float64 { return r.DiskSyncs }},
	{"disk_bytes_s", 0, func(r Row) float64 { return r.DiskBytes }},
}

// WriteCSV writes all rows as CSV.
func WriteCSV(w io.Writer, rows []Row) error {
	out := csv.NewWriter(w)
	header := []string{"experiment", "role", "part", "size"}
	for _, m := range measures {
		header = append(header, m.name)
	}
	_ = out.Write(header)
	for _, r := range rows {
		record := []string{r.Experiment, r.Role, r.Part, strconv.Itoa(r.Size)}
		for _, m := range measures {
			record = append(record, formatNumber(m.of(r)))
		}
		_ = out.Write(record)
	}
	out.Flush()
	if err := out.Error(); err != nil {
		return fmt.Errorf("hollow: %w", err)
	}
	return nil
}

// formatNumber writes a number with four digits that count.
func formatNumber(x float64) string { return strconv.FormatFloat(x, 'g', 4, 64) }

func formatCell(x float64) string {
	if x >= 100 {
		return strconv.FormatFloat(x, 'f', 0, 64)
	}
	return formatNumber(x)
}

// FittedLine is a straight line through one measure of one part at all sizes.
type FittedLine struct {
	Experiment, Role, Part, Measure string
	Intercept, Slope, R2            float64 // per node of the site
	AtFullSize                      float64 // the full size
	FullSizeMeasured                bool    // the full size was run: At is what was measured there
	CeilingSize                     float64 // the size at which the line meets the ceiling; 0 for never, or none
	Max                             float64 // the larger of At and what the largest size that ran came to
}

// FitLines puts lines through rows; a single size gives none.
func FitLines(rows []Row) (lines []FittedLine) {
	type key struct{ e, r, p string }
	var order []key
	rowsByKey := map[key][]Row{}
	for _, r := range rows {
		k := key{r.Experiment, r.Role, r.Part}
		if rowsByKey[k] == nil {
			order = append(order, k)
		}
		rowsByKey[k] = append(rowsByKey[k], r)
	}
	for _, k := range order {
		for _, m := range measures {
			var x, y []float64
			line := FittedLine{Experiment: k.e, Role: k.r, Part: k.p, Measure: m.name}
			for _, r := range rowsByKey[k] {
				x, y = append(x, float64(r.Size)), append(y, m.of(r))
				if r.Size == FullSize {
					line.FullSizeMeasured, line.AtFullSize = true, m.of(r)
				}
			}
			if len(x) < 3 || slices.Max(y) == 0 {
				continue
			}
			line.Intercept, line.Slope = stat.LinearRegression(x, y, nil, false)
			line.R2 = stat.RSquared(x, y, nil, line.Intercept, line.Slope)
			if !line.FullSizeMeasured {
				line.AtFullSize = line.Intercept + line.Slope*FullSize
			}
			if m.most > 0 && k.p == "all" && line.Slope > 0 {
				if size := (m.most - line.Intercept) / line.Slope; size > 0 && size < maxFittedSize {
					line.CeilingSize = size
				}
			}
			lines = append(lines, line)
		}
	}
	return lines
}

// WriteMarkdown writes, for each experiment and role, what the whole of it cost at each size, with the fitted lines.
func WriteMarkdown(w io.Writer, rows []Row, lines []FittedLine) error {
	var sizes []int
	for _, r := range rows {
		if !slices.Contains(sizes, r.Size) {
			sizes = append(sizes, r.Size)
		}
	}
	text := "| experiment | role | part | per node and second |"
	rule := "|---|---|---|---|"
	for _, size := range sizes {
		text += fmt.Sprintf(" %d |", size)
		rule += "---|"
	}
	text += " slope per node | R^2 | ceiling met at |\n" + rule + "---|---|---|\n"
	for _, line := range lines {
		if line.Max = max(line.AtFullSize, valueAt(rows, line, slices.Max(sizes))); !inMarkdown(line) {
			continue
		}
		text += fmt.Sprintf("| %s | %s | %s | %s |", line.Experiment, line.Role, line.Part, line.Measure)
		for _, size := range sizes {
			text += " " + formatCell(valueAt(rows, line, size)) + " |"
		}
		ceilingSize := ""
		if line.CeilingSize > 0 {
			ceilingSize = fmt.Sprintf("%.0f", line.CeilingSize)
		}
		text += fmt.Sprintf(" %s | %.3f | %s |\n", formatNumber(line.Slope), line.R2, ceilingSize)
	}
	if _, err := io.WriteString(w, text); err != nil {
		return fmt.Errorf("hollow: %w", err)
	}
	return nil
}

// inMarkdown says which lines the page's table has: the whole of each role, and the parts that send the most at the largest
// size that ran or, by the line, at the full one.
func inMarkdown(line FittedLine) bool {
	if line.Part == "all" {
		return line.Measure != "notes_s" || line.AtFullSize > 0.01
	}
	return line.Measure == "out_bytes_s" && line.Max > 200 || line.Measure == "core_pct" && line.Max > 0.2
}

func valueAt(rows []Row, line FittedLine, size int) float64 {
	for _, r := range rows {
		if r.Experiment == line.Experiment && r.Role == line.Role && r.Part == line.Part && r.Size == size {
			for _, m := range measures {
				if m.name == line.Measure {
					return m.of(r)
				}
			}
		}
	}
	return 0
}
