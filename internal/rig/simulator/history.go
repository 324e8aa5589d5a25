package simulator

import (
	"fmt"

	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// Linear checks the operators' histories. Each key is a register whose every write gets the next number, so
// that an order exists if numbers agree with real time, no two acknowledged writes share one, an acknowledged
// write stands on just the number that it built on, and equal numbers mean equal bytes.
func Linear(h []Op) []string {
	var bad []string
	by := map[string][]Op{}
	for _, o := range h {
		if o.To != 0 && o.Code == resultcode.OK {
			by[o.Key] = append(by[o.Key], o)
		}
	}
	for key, l := range by {
		data, writer := map[units.Version]string{}, map[units.Version]bool{}
		for _, o := range l {
			if d, ok := data[o.Num]; ok && d != o.Data {
				bad = append(bad, fmt.Sprintf("%s: number %d has two values", key, o.Num))
			}
			data[o.Num] = o.Data
			if !o.Write {
				continue
			}
			if writer[o.Num] {
				bad = append(bad, fmt.Sprintf("%s: two writes got number %d", key, o.Num))
			}
			writer[o.Num] = true
			if o.Num != o.Expect+1 {
				bad = append(bad, fmt.Sprintf("%s: a write on %d got number %d", key, o.Expect, o.Num))
			}
		}
		for i, a := range l {
			for _, b := range l[i+1:] {
				if a.To < b.From && (b.Num < a.Num || b.Write && b.Num == a.Num) {
					bad = append(bad, fmt.Sprintf("%s: number %d was seen, and later %d", key, a.Num, b.Num))
				}
				if b.To < a.From && (a.Num < b.Num || a.Write && a.Num == b.Num) {
					bad = append(bad, fmt.Sprintf("%s: number %d was seen, and later %d", key, b.Num, a.Num))
				}
			}
		}
	}
	return bad
}
