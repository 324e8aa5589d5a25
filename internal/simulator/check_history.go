package simulator

import (
	"fmt"

	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// CheckHistory checks that the operators' calls are linearizable. Each key is a register whose writes get consecutive
// versions, so the calls are linearizable if versions agree with real time, no two acknowledged writes share a version,
// an acknowledged write gets the version after its expected one, and equal versions have equal values.
func CheckHistory(history []Op) []string {
	var bad []string
	byKey := map[string][]Op{}
	for _, o := range history {
		if o.ReturnedAt != 0 && o.Code == resultcode.OK {
			byKey[o.Key] = append(byKey[o.Key], o)
		}
	}
	for key, calls := range byKey {
		data, written := map[units.Version]string{}, map[units.Version]bool{}
		for _, o := range calls {
			if d, ok := data[o.Version]; ok && d != o.Data {
				bad = append(bad, fmt.Sprintf("%s: version %d has two values", key, o.Version))
			}
			data[o.Version] = o.Data
			if !o.Write {
				continue
			}
			if written[o.Version] {
				bad = append(bad, fmt.Sprintf("%s: two writes got version %d", key, o.Version))
			}
			written[o.Version] = true
			if o.Version != o.ExpectedVersion+1 {
				bad = append(bad, fmt.Sprintf("%s: a write with expected version %d got version %d", key, o.ExpectedVersion,
					o.Version))
			}
		}
		for i, a := range calls {
			for _, b := range calls[i+1:] {
				if a.ReturnedAt < b.CalledAt && (b.Version < a.Version || b.Write && b.Version == a.Version) {
					bad = append(bad, fmt.Sprintf("%s: version %d was observed, and version %d after it", key, a.Version,
						b.Version))
				}
				if b.ReturnedAt < a.CalledAt && (a.Version < b.Version || a.Write && a.Version == b.Version) {
					bad = append(bad, fmt.Sprintf("%s: version %d was observed, and version %d after it", key, b.Version,
						a.Version))
				}
			}
		}
	}
	return bad
}
