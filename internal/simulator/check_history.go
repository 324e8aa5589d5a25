package simulator

import (
	"fmt"

	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// CheckHistory checks the operators' histories. Each key is a register whose every write gets the next number, so
// that an order exists if numbers agree with real time, no two acknowledged writes share one, an acknowledged
// write stands on just the number that it built on, and equal numbers mean equal bytes.
func CheckHistory(history []Op) []string {
	var bad []string
	byKey := map[string][]Op{}
	for _, o := range history {
		if o.ReturnedAt != 0 && o.Code == resultcode.OK {
			byKey[o.Key] = append(byKey[o.Key], o)
		}
	}
	for key, l := range byKey {
		data, written := map[units.Version]string{}, map[units.Version]bool{}
		for _, o := range l {
			if d, ok := data[o.Version]; ok && d != o.Data {
				bad = append(bad, fmt.Sprintf("%s: number %d has two values", key, o.Version))
			}
			data[o.Version] = o.Data
			if !o.Write {
				continue
			}
			if written[o.Version] {
				bad = append(bad, fmt.Sprintf("%s: two writes got number %d", key, o.Version))
			}
			written[o.Version] = true
			if o.Version != o.ExpectedVersion+1 {
				bad = append(bad, fmt.Sprintf("%s: a write on %d got number %d", key, o.ExpectedVersion, o.Version))
			}
		}
		for i, a := range l {
			for _, b := range l[i+1:] {
				if a.ReturnedAt < b.CalledAt && (b.Version < a.Version || b.Write && b.Version == a.Version) {
					bad = append(bad, fmt.Sprintf("%s: number %d was seen, and later %d", key, a.Version, b.Version))
				}
				if b.ReturnedAt < a.CalledAt && (a.Version < b.Version || a.Write && a.Version == b.Version) {
					bad = append(bad, fmt.Sprintf("%s: number %d was seen, and later %d", key, b.Version, a.Version))
				}
			}
		}
	}
	return bad
}
