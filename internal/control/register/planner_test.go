package register

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/units"
)

func controller(n units.NodeID, addr string, flags uint16) membership.Member {
	return membership.Member{Node: n, Incarnation: uint64(n), Role: membership.Controller, Addr: addr, Flags: flags}
}

// Proposal returns the set that a node would bootstrap from its seeds, and whether the node proposes it
// (docs/design.md, section 13).
func TestSeedBootstrapProposal(t *testing.T) {
	const both = membership.MayVote | membership.Bootstrap
	abc := []string{"a", "b", "c"}
	for name, testCase := range map[string]struct {
		at    string
		all   []membership.Member
		after time.Duration
		ids   []units.NodeID
		lead  bool
	}{
		"all seeds are alive":          {"a", []membership.Member{controller(1, "a", both), controller(2, "b", both), controller(3, "c", both), controller(4, "d", both)}, 0, []units.NodeID{1, 2, 3}, true},
		"a node that is no seed":       {"d", []membership.Member{controller(1, "a", both), controller(2, "b", both), controller(3, "c", both), controller(4, "d", both)}, 0, []units.NodeID{1, 2, 3}, false},
		"one seed is missing":          {"a", []membership.Member{controller(1, "a", both), controller(2, "b", both), controller(4, "d", both)}, 9 * time.Second, nil, false},
		"one seed is of a later start": {"a", []membership.Member{controller(1, "a", both), controller(2, "b", both), controller(3, "c", membership.MayVote)}, 9 * time.Second, nil, false},
		"one seed has no voting disk":  {"b", []membership.Member{controller(1, "a", 0), controller(2, "b", both), controller(3, "c", both)}, 0, []units.NodeID{2, 3}, true},
		"a fleet is running":           {"a", []membership.Member{controller(1, "a", both), controller(2, "b", both), controller(3, "c", both), controller(4, "d", membership.MayVote|membership.Voter)}, 0, nil, false},
		"one seed was replaced":        {"a", []membership.Member{controller(1, "a", both), controller(2, "b", both), controller(3, "c", both), controller(5, "c", membership.MayVote)}, 0, nil, false},
		"no seed votes, new view":      {"a", []membership.Member{controller(1, "a", 0), controller(2, "b", 0), controller(3, "c", membership.Bootstrap), controller(4, "d", both), controller(5, "e", both)}, 0, []units.NodeID{4, 5}, false},
		"no seed votes":                {"a", []membership.Member{controller(1, "a", 0), controller(2, "b", 0), controller(3, "c", membership.Bootstrap), controller(4, "d", both), controller(5, "e", membership.MayVote)}, 2 * time.Second, []units.NodeID{4}, true},
		"no seed votes, other seed":    {"b", []membership.Member{controller(1, "a", 0), controller(2, "b", 0), controller(3, "c", 0), controller(4, "d", both)}, 2 * time.Second, []units.NodeID{4}, false},
		"no voting disk, new view":     {"a", []membership.Member{controller(1, "a", membership.Bootstrap), controller(2, "b", membership.Bootstrap), controller(3, "c", membership.Bootstrap), controller(4, "d", membership.Bootstrap)}, 2 * time.Second, []units.NodeID{1, 2, 3, 4}, false},
		"no voting disk":               {"a", []membership.Member{controller(1, "a", membership.Bootstrap), controller(2, "b", membership.Bootstrap), controller(3, "c", membership.Bootstrap), controller(4, "d", membership.Bootstrap)}, 4 * time.Second, []units.NodeID{1, 2, 3, 4}, true},
	} {
		s := SeedBootstrap{Addr: testCase.at, SeedAddrs: abc, Participates: true}
		s.Proposal(units.Time(time.Second), NewControllerView(testCase.all))
		if ids, lead := s.Proposal(units.Time(time.Second+testCase.after), NewControllerView(testCase.all)); !slices.Equal(ids, testCase.ids) || lead != testCase.lead {
			t.Errorf("%s: %v %v, wanted %v %v", name, ids, lead, testCase.ids, testCase.lead)
		}
		s.Participates = false
		if ids, lead := s.Proposal(units.Time(9*time.Second), NewControllerView(testCase.all)); ids != nil || lead {
			t.Errorf("%s: a node that does not take part proposes %v", name, ids)
		}
	}
}

// Machines fail, recover, lose their disks, are replaced and leave at random, one at a time, and the owner of
// KeyQuorum changes. Each step keeps a majority of the next set among the members present, never removes a present
// member without adding another, and keeps at least minSize members. In the end the set is the largest odd number of
// disks, all alive and spread over the zones.
func TestPlannerRandomFailures(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		lastNode := units.NodeID(10)
		zones := 1 + rng.IntN(4)
		var live []membership.Member // one machine at each index
		for i := range 3 + rng.IntN(6) {
			lastNode++
			m := controller(lastNode, fmt.Sprint("m", i), membership.MayVote)
			m.Zone = fmt.Sprint("z", i%zones)
			live = append(live, m)
		}
		q := QuorumSet{Version: 1}
		for _, m := range live[:3] {
			q.Members = append(q.Members, m.Node)
		}
		minSize := 3
		down := map[int]bool{}
		var dead []membership.Member
		planner := &Planner{MinSize: minSize, ReplaceAfter: ReplaceAfter}
		standby := &Planner{MinSize: minSize, ReplaceAfter: ReplaceAfter}
		for now := units.Time(0); now < units.Time(60*time.Second); now = now.Add(100 * time.Millisecond) {
			if now < units.Time(20*time.Second) && rng.IntN(10) == 0 {
				switch i := rng.IntN(len(live)); {
				case down[i]:
					delete(down, i)
				case len(down) > 0:
				case rng.IntN(2) == 0:
					down[i] = true
				case !allAlive(q, live):
					// the set tolerates one loss: the next loss waits until it is complete again
				default:
					old := live[i]
					old.State = membership.State(rng.IntN(4))
					dead = append(dead, old)
					lastNode++
					addr := old.Addr
					if rng.IntN(2) == 0 {
						old.State, addr = membership.Dead, fmt.Sprint("n", lastNode)
						dead[len(dead)-1] = old
					}
					live[i] = controller(lastNode, addr, membership.MayVote)
					live[i].Zone = old.Zone
				}
			} else if now >= units.Time(20*time.Second) {
				clear(down)
			}
			if rng.IntN(20) == 0 {
				for i := range dead {
					dead[i].State = membership.Dead // membership detects the failure
				}
			}
			all := slices.Clone(dead)
			for i, m := range live {
				if down[i] {
					m.State = membership.Suspect
				}
				all = append(all, m)
			}
			view := NewControllerView(all)
			if rng.IntN(50) == 0 {
				planner, standby = standby, planner // another owner, whose own planner has run as well
			}
			_ = standby.NextMembers(now, q, view)
			members := planner.NextMembers(now, q, view)
			if members == nil {
				continue
			}
			present := 0
			for _, n := range members {
				if q.Has(n) && (slices.Contains(view.Eligible, n) || !view.Replaced[n] && now.Sub(planner.absentSince[n]) < ReplaceAfter) {
					present++
				}
			}
			removed, added := difference(q.Members, members), difference(members, q.Members)
			if present <= len(members)/2 || len(members) < minSize {
				t.Fatalf("seed %d: from %v to %v, of which %d are present", seed, q, members, present)
			}
			for _, n := range removed {
				if slices.Contains(view.Eligible, n) && len(added) == 0 && len(members)%2 == 0 {
					t.Fatalf("seed %d: %d was removed without need: from %v to %v", seed, n, q, members)
				}
			}
			q = QuorumSet{Version: q.Version + 1, Members: members}
		}
		assertFinalSet(t, seed, q, live)
	}
}

// allAlive reports whether every member of the set is one of the machines.
func allAlive(q QuorumSet, live []membership.Member) bool {
	for _, n := range q.Members {
		if !slices.ContainsFunc(live, func(m membership.Member) bool { return m.Node == n }) {
			return false
		}
	}
	return true
}

// assertFinalSet checks that the set is the largest odd number of the machines, and that no zone has two members more
// than another zone that has a machine to spare.
func assertFinalSet(t *testing.T, seed uint64, q QuorumSet, live []membership.Member) {
	t.Helper()
	if len(q.Members) != largestOdd(len(live)) {
		t.Fatalf("seed %d: %v at the end, of %d machines", seed, q, len(live))
	}
	held, spare, alive := map[string]int{}, map[string]int{}, 0
	for _, m := range live {
		if q.Has(m.Node) {
			held[m.Zone]++
			alive++
		} else {
			spare[m.Zone]++
		}
	}
	if alive != len(q.Members) {
		t.Fatalf("seed %d: %v contains removed machines", seed, q)
	}
	for zone, n := range spare {
		for other, k := range held {
			if n > 0 && k > held[zone]+1 {
				t.Fatalf("seed %d: %v has %d in %s and %d in %s", seed, q, k, other, held[zone], zone)
			}
		}
	}
}

// Single situations of a set that follows the number of voting disks and has to tolerate one loss, with the expected
// next set.
func TestPlannerSteps(t *testing.T) {
	const mayVote = membership.MayVote
	member := func(n units.NodeID, zone string, flags uint16, state membership.State) membership.Member {
		m := controller(n, "a"+n.String(), flags)
		m.Zone, m.State = zone, state
		return m
	}
	alive := func(n units.NodeID, zone string) membership.Member { return member(n, zone, mayVote, membership.Alive) }
	three := []units.NodeID{1, 2, 3}
	abc := []membership.Member{alive(1, "x"), alive(2, "y"), alive(3, "z")}
	with := func(l ...membership.Member) []membership.Member { return append(slices.Clone(abc), l...) }
	for name, testCase := range map[string]struct {
		members []units.NodeID
		all     []membership.Member
		after   time.Duration
		want    []units.NodeID
	}{
		"all are present":                  {three, abc, time.Minute, nil},
		"a spare exists":                   {three, with(alive(4, "x")), time.Minute, nil},
		"two more joined":                  {three, with(alive(4, "x"), alive(5, "y")), 4 * time.Second, []units.NodeID{1, 2, 3, 4, 5}},
		"two more joined just now":         {three, with(alive(4, "x"), alive(5, "y")), time.Second, nil},
		"grows from one member":            {[]units.NodeID{1}, with(alive(4, "x")), time.Minute, []units.NodeID{1, 2, 3}},
		"one is draining, with a spare":    {three, []membership.Member{abc[0], abc[1], member(3, "z", mayVote|membership.Draining, membership.Alive), alive(4, "z")}, 0, []units.NodeID{1, 2, 4}},
		"one left, with a spare":           {three, []membership.Member{abc[0], abc[1], member(3, "z", mayVote, membership.Left), alive(4, "z")}, 0, []units.NodeID{1, 2, 4}},
		"one is draining, no spare":        {three, []membership.Member{abc[0], abc[1], member(3, "z", mayVote|membership.Draining, membership.Alive)}, time.Minute, nil},
		"one is absent for a short time":   {three, []membership.Member{abc[0], abc[1], member(3, "z", mayVote, membership.Suspect), alive(4, "z")}, time.Second, nil},
		"one is absent":                    {three, []membership.Member{abc[0], abc[1], member(3, "z", mayVote, membership.Suspect), alive(4, "z")}, 2 * time.Second, []units.NodeID{1, 2, 4}},
		"a disk is lost":                   {three, []membership.Member{abc[0], abc[1], abc[2], {Node: 9, Incarnation: 9, Role: membership.Controller, Addr: abc[2].Addr, Flags: mayVote, Zone: "z"}}, 0, []units.NodeID{1, 2, 9}},
		"two disks of five are lost":       {[]units.NodeID{1, 2, 3, 4, 5}, with(member(4, "x", mayVote, membership.Dead), member(5, "y", mayVote, membership.Dead), alive(6, "x"), alive(7, "y")), 2 * time.Second, []units.NodeID{1, 2, 3, 6, 7}},
		"one of five is lost, no spare":    {[]units.NodeID{1, 2, 3, 4, 5}, with(alive(4, "x"), member(5, "y", mayVote, membership.Dead)), 2 * time.Second, nil},
		"one of five is lost for long":     {[]units.NodeID{1, 2, 3, 4, 5}, with(alive(4, "x"), member(5, "y", mayVote, membership.Dead)), time.Minute, three},
		"two of three are absent":          {three, []membership.Member{abc[0], member(2, "y", mayVote, membership.Dead), member(3, "z", mayVote, membership.Dead), alive(4, "y"), alive(5, "z")}, time.Minute, nil},
		"two of three are draining":        {three, []membership.Member{abc[0], member(2, "y", mayVote|membership.Draining, 0), member(3, "z", mayVote|membership.Draining, 0), alive(4, "y"), alive(5, "z")}, 0, []units.NodeID{1, 2, 3, 4, 5}},
		"zones are uneven":                 {three, []membership.Member{alive(1, "x"), alive(2, "x"), alive(3, "z"), alive(4, "y")}, time.Minute, []units.NodeID{1, 3, 4}},
		"zones are uneven, just now":       {three, []membership.Member{alive(1, "x"), alive(2, "x"), alive(3, "z"), alive(4, "y")}, time.Second, nil},
		"an even set":                      {[]units.NodeID{1, 2, 3, 4}, with(alive(4, "x")), time.Minute, three},
		"an even set of which one left":    {[]units.NodeID{1, 2, 3, 4}, with(member(4, "x", mayVote, membership.Left)), 0, three},
		"no voting disk, two of five left": {[]units.NodeID{1, 2, 3, 4, 5}, []membership.Member{member(1, "x", 0, 0), member(2, "y", 0, 0), member(3, "z", 0, 0), member(4, "x", 0, membership.Left), member(5, "y", 0, membership.Left)}, 0, three},
	} {
		p := &Planner{MinSize: 3, ReplaceAfter: ReplaceAfter}
		q := QuorumSet{Version: 7, Members: testCase.members}
		now := units.Time(time.Second)
		_ = p.NextMembers(now, q, NewControllerView(testCase.all))
		if got := p.NextMembers(now.Add(testCase.after), q, NewControllerView(testCase.all)); !slices.Equal(got, testCase.want) {
			t.Errorf("%s: %v, wanted %v", name, got, testCase.want)
		}
	}
}
