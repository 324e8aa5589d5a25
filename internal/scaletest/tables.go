package scaletest

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"

	"gonum.org/v1/gonum/stat"
)

// Ceilings for the cost of the control traffic on one node, and the site size that the system is designed for.
const (
	MaxCorePercent    = 4.2
	MaxBytesPerSecond = 9 * 1024
	MaxHeapKB         = 256 * 1024
	maxFittedSize     = 100 * FullSize // a fitted line can't be extrapolated further
	FullSize          = 400            // routers
)

// measures are the columns of the table, to which lines are fitted.
var measures = []struct {
	name    string
	ceiling float64 // 0 for none
	of      func(Row) float64
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
		return fmt.Errorf("scaletest: %w", err)
	}
	return nil
}

// formatNumber formats a number with four significant digits.
func formatNumber(x float64) string { return strconv.FormatFloat(x, 'g', 4, 64) }

// formatCell formats a number without decimals from 100 on, and with four significant digits below.
func formatCell(x float64) string {
	if x >= 100 {
		return strconv.FormatFloat(x, 'f', 0, 64)
	}
	return formatNumber(x)
}

// FittedLine is the linear regression of one measure of one part over the size of the site.
type FittedLine struct {
	Experiment, Role, Part, Measure string
	Intercept, Slope, R2            float64 // Slope is per router of the site
	AtFullSize                      float64 // the value at FullSize
	FullSizeMeasured                bool    // FullSize was run: AtFullSize is measured, not fitted
	CeilingSize                     float64 // the size at which the line reaches the ceiling; 0 if it never does or there is none
	Max                             float64 // the larger of AtFullSize and the value at the largest size that was run
}

// FitLines fits lines to rows. A measure with fewer than three sizes, or of zeros only, gets none.
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
			if m.ceiling > 0 && k.p == "all" && line.Slope > 0 {
				if size := (m.ceiling - line.Intercept) / line.Slope; size > 0 && size < maxFittedSize {
					line.CeilingSize = size
				}
			}
			lines = append(lines, line)
		}
	}
	return lines
}

// WriteMarkdown writes a table of the cost at each size, by experiment and role, with the fitted lines.
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
		return fmt.Errorf("scaletest: %w", err)
	}
	return nil
}

// inMarkdown reports whether the Markdown table has a line: those of a whole role, and of the parts that cost most at the
// largest size that was run or, by the fitted line, at the full size.
func inMarkdown(line FittedLine) bool {
	if line.Part == "all" {
		return line.Measure != "notes_s" || line.AtFullSize > 0.01
	}
	return line.Measure == "out_bytes_s" && line.Max > 200 || line.Measure == "core_pct" && line.Max > 0.2
}

// valueAt returns what the measure of a line came to at a size, or 0 if there is no such row.
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
