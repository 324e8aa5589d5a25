package register

import (
	"strings"
	"testing"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/units"
)

// Shortfall names the tolerance that a set lacks, and what has to be added.
func TestShortfall(t *testing.T) {
	for name, testCase := range map[string]struct {
		zones string // zone of each node, from node 1 on
		want  Tolerance
		text  string
	}{
		"one of three":                {"xyz", Tolerance{1, 1}, ""},
		"two of three":                {"xyz", Tolerance{2, 1}, "5 disks"},
		"one zone holds two of three": {"xxz", Tolerance{1, 1}, "more zones"},
		"two of five":                 {"xxyyz", Tolerance{2, 1}, ""},
		"two zones of five":           {"xxyyz", Tolerance{2, 2}, "2 zones takes 4 of 5"},
		"no zone loss required":       {"xxx", Tolerance{1, 0}, ""},
		"a single member":             {"x", Tolerance{0, 0}, ""},
		"a single member, one lost":   {"x", Tolerance{1, 0}, "3 disks"},
	} {
		q := QuorumSet{Version: 1}
		var all []membership.Member
		for i, zone := range testCase.zones {
			m := controller(units.NodeID(i+1), "a"+string(rune('0'+i)), membership.MayVote)
			m.Zone = string(zone)
			all = append(all, m)
			q.Members = append(q.Members, m.Node)
		}
		got := testCase.want.Shortfall(q, NewControllerView(all))
		if testCase.text == "" && got != "" || !strings.Contains(got, testCase.text) {
			t.Errorf("%s: %q, wanted %q", name, got, testCase.text)
		}
		if s := testCase.want.Shortfall(q.jointWith(q.Members), NewControllerView(all)); s != "" {
			t.Errorf("%s: a joint set is checked: %s", name, s)
		}
	}
}
