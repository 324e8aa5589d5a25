package register

import (
	"strings"
	"testing"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/units"
)

// What a set does not bear is said, with what is wanted instead.
func TestShortfall(t *testing.T) {
	for name, x := range map[string]struct {
		zones string // of nodes 1, 2, 3, and so on
		want  Tolerance
		says  string
	}{
		"one of three":             {"xyz", Tolerance{1, 1}, ""},
		"two of three":             {"xyz", Tolerance{2, 1}, "5 disks"},
		"a zone with two of three": {"xxz", Tolerance{1, 1}, "more zones"},
		"two of five":              {"xxyyz", Tolerance{2, 1}, ""},
		"two zones of five":        {"xxyyz", Tolerance{2, 2}, "2 zones takes 4 of 5"},
		"no zone need be lost":     {"xxx", Tolerance{1, 0}, ""},
		"one alone":                {"x", Tolerance{0, 0}, ""},
		"one alone, one lost":      {"x", Tolerance{1, 0}, "3 disks"},
	} {
		q := QuorumSet{Version: 1}
		var all []membership.Member
		for i, zone := range x.zones {
			m := core(units.NodeID(i+1), "a"+string(rune('0'+i)), membership.MayVote)
			m.Zone = string(zone)
			all = append(all, m)
			q.Members = append(q.Members, m.Node)
		}
		got := x.want.Shortfall(q, NewControllerView(all))
		if x.says == "" && got != "" || !strings.Contains(got, x.says) {
			t.Errorf("%s: %q, wanted %q", name, got, x.says)
		}
		if s := x.want.Shortfall(q.joint(q.Members), NewControllerView(all)); s != "" {
			t.Errorf("%s: a joint set is judged: %s", name, s)
		}
	}
}
