package hollow

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
	CoreMost  = 4.2            // percent of a core
	BytesMost = 9 * 1024       // a second
	HeapMost  = 256 * 1024     // KB
	sizeMost  = 100 * FullSize // beyond it a line that was fitted says nothing
	FullSize  = 400
)

// measures are the columns that lines are fitted to.
var measures = []struct {
	name string
	most float64
	of   func(Row) float64
}{
	{"notes_s", 0, func(r Row) float64 { return r.Notes }},
	{"out_bytes_s", BytesMost, func(r Row) float64 { return r.Out }},
	{"in_bytes_s", BytesMost, func(r Row) float64 { return r.In }},
	{"most_bytes_s", BytesMost, func(r Row) float64 { return r.Most }},
	{"core_pct", CoreMost, func(r Row) float64 { return r.Core }},
	{"heap_kb", HeapMost, func(r Row) float64 { return r.HeapKB }},
	{"syncs_s", 0, func(r Row) float64 { return r.Writes }},
	{"disk_bytes_s", 0, func(r Row) float64 { return r.Disk }},
}

// Table writes all rows as CSV.
func Table(w io.Writer, rows []Row) error {
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

// Line is a straight line through one measure of one part at all sizes.
type Line struct {
	Experiment, Role, Part, Measure string
	Base, Slope, R2                 float64 // per node of the site
	At                              float64 // the full size
	Ran                             bool    // the full size was run: At is what was measured there
	Cross                           float64 // the size at which the line meets the ceiling; 0 for never, or none
	Most                            float64 // the larger of At and what the largest size that ran came to
}

// Fit puts lines through rows; a single size gives none.
func Fit(rows []Row) (l []Line) {
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
			n := Line{Experiment: k.e, Role: k.r, Part: k.p, Measure: m.name}
			for _, r := range by[k] {
				x, y = append(x, float64(r.Size)), append(y, m.of(r))
				if r.Size == FullSize {
					n.Ran, n.At = true, m.of(r)
				}
			}
			if len(x) < 3 || slices.Max(y) == 0 {
				continue
			}
			n.Base, n.Slope = stat.LinearRegression(x, y, nil, false)
			n.R2 = stat.RSquared(x, y, nil, n.Base, n.Slope)
			if !n.Ran {
				n.At = n.Base + n.Slope*FullSize
			}
			if m.most > 0 && k.p == "all" && n.Slope > 0 {
				if at := (m.most - n.Base) / n.Slope; at > 0 && at < sizeMost {
					n.Cross = at
				}
			}
			l = append(l, n)
		}
	}
	return l
}

// Markdown writes, for each experiment and role, what the whole of it cost at each size, with the fitted lines.
func Markdown(w io.Writer, rows []Row, lines []Line) error {
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
		if n.Most = max(n.At, at(rows, n, slices.Max(sizes))); !shown(n) {
			continue
		}
		b += fmt.Sprintf("| %s | %s | %s | %s |", n.Experiment, n.Role, n.Part, n.Measure)
		for _, s := range sizes {
			b += " " + whole(at(rows, n, s)) + " |"
		}
		cross := ""
		if n.Cross > 0 {
			cross = fmt.Sprintf("%.0f", n.Cross)
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
func shown(n Line) bool {
	if n.Part == "all" {
		return n.Measure != "notes_s" || n.At > 0.01
	}
	return n.Measure == "out_bytes_s" && n.Most > 200 || n.Measure == "core_pct" && n.Most > 0.2
}

func at(rows []Row, n Line, size int) float64 {
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
