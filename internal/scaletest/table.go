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
	sizeMost          = 100 * FullSize // beyond it a line that was fitted says nothing
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
	c := csv.NewWriter(w)
	head := []string{"experiment", "role", "part", "size"}
	for _, m := range measures {
		head = append(head, m.name)
	}
	_ = c.Write(head)
	for _, r := range rows {
		l := []string{r.Experiment, r.Role, r.Part, strconv.Itoa(r.Size)}
		for _, m := range measures {
			l = append(l, num(m.of(r)))
		}
		_ = c.Write(l)
	}
	c.Flush()
	if err := c.Error(); err != nil {
		return fmt.Errorf("hollow: %w", err)
	}
	return nil
}

// num writes a number with four digits that count.
func num(x float64) string { return strconv.FormatFloat(x, 'g', 4, 64) }

func whole(x float64) string {
	if x >= 100 {
		return strconv.FormatFloat(x, 'f', 0, 64)
	}
	return num(x)
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
func FitLines(rows []Row) (l []FittedLine) {
	type key struct{ e, r, p string }
	var order []key
	by := map[key][]Row{}
	for _, r := range rows {
		k := key{r.Experiment, r.Role, r.Part}
		if by[k] == nil {
			order = append(order, k)
		}
		by[k] = append(by[k], r)
	}
	for _, k := range order {
		for _, m := range measures {
			var x, y []float64
			n := FittedLine{Experiment: k.e, Role: k.r, Part: k.p, Measure: m.name}
			for _, r := range by[k] {
				x, y = append(x, float64(r.Size)), append(y, m.of(r))
				if r.Size == FullSize {
					n.FullSizeMeasured, n.AtFullSize = true, m.of(r)
				}
			}
			if len(x) < 3 || slices.Max(y) == 0 {
				continue
			}
			n.Intercept, n.Slope = stat.LinearRegression(x, y, nil, false)
			n.R2 = stat.RSquared(x, y, nil, n.Intercept, n.Slope)
			if !n.FullSizeMeasured {
				n.AtFullSize = n.Intercept + n.Slope*FullSize
			}
			if m.most > 0 && k.p == "all" && n.Slope > 0 {
				if at := (m.most - n.Intercept) / n.Slope; at > 0 && at < sizeMost {
					n.CeilingSize = at
				}
			}
			l = append(l, n)
		}
	}
	return l
}

// WriteMarkdown writes, for each experiment and role, what the whole of it cost at each size, with the fitted lines.
func WriteMarkdown(w io.Writer, rows []Row, lines []FittedLine) error {
	var sizes []int
	for _, r := range rows {
		if !slices.Contains(sizes, r.Size) {
			sizes = append(sizes, r.Size)
		}
	}
	b := "| experiment | role | part | per node and second |"
	rule := "|---|---|---|---|"
	for _, s := range sizes {
		b += fmt.Sprintf(" %d |", s)
		rule += "---|"
	}
	b += " slope per node | R^2 | ceiling met at |\n" + rule + "---|---|---|\n"
	for _, n := range lines {
		if n.Max = max(n.AtFullSize, at(rows, n, slices.Max(sizes))); !shown(n) {
			continue
		}
		b += fmt.Sprintf("| %s | %s | %s | %s |", n.Experiment, n.Role, n.Part, n.Measure)
		for _, s := range sizes {
			b += " " + whole(at(rows, n, s)) + " |"
		}
		cross := ""
		if n.CeilingSize > 0 {
			cross = fmt.Sprintf("%.0f", n.CeilingSize)
		}
		b += fmt.Sprintf(" %s | %.3f | %s |\n", num(n.Slope), n.R2, cross)
	}
	if _, err := io.WriteString(w, b); err != nil {
		return fmt.Errorf("hollow: %w", err)
	}
	return nil
}

// shown says which lines the page's table has: the whole of each role, and the parts that send the most at the largest
// size that ran or, by the line, at the full one.
func shown(n FittedLine) bool {
	if n.Part == "all" {
		return n.Measure != "notes_s" || n.AtFullSize > 0.01
	}
	return n.Measure == "out_bytes_s" && n.Max > 200 || n.Measure == "core_pct" && n.Max > 0.2
}

func at(rows []Row, n FittedLine, size int) float64 {
	for _, r := range rows {
		if r.Experiment == n.Experiment && r.Role == n.Role && r.Part == n.Part && r.Size == size {
			for _, m := range measures {
				if m.name == n.Measure {
					return m.of(r)
				}
			}
		}
	}
	return 0
}
