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

func core(n units.NodeID, addr string, flags uint16) membership.Member {
	return membership.Member{Node: n, Incarnation: uint64(n), Role: membership.Controller, Addr: addr, Flags: flags}
}

// Which set a node sees to found from seeds, and who proposes it (design 13).
func TestSeedsSet(t *testing.T) {
	const both = membership.MayVote | membership.Bootstrap
	abc := []string{"a", "b", "c"}
	for name, x := range map[string]struct {
		at    string
		all   []membership.Member
		after time.Duration
		ids   []units.NodeID
		lead  bool
	}{
		"all are there":              {"a", []membership.Member{core(1, "a", both), core(2, "b", both), core(3, "c", both), core(4, "d", both)}, 0, []units.NodeID{1, 2, 3}, true},
		"another's view":             {"d", []membership.Member{core(1, "a", both), core(2, "b", both), core(3, "c", both), core(4, "d", both)}, 0, []units.NodeID{1, 2, 3}, false},
		"one is missing":             {"a", []membership.Member{core(1, "a", both), core(2, "b", both), core(4, "d", both)}, 9 * time.Second, nil, false},
		"one is of a later start":    {"a", []membership.Member{core(1, "a", both), core(2, "b", both), core(3, "c", membership.MayVote)}, 9 * time.Second, nil, false},
		"one doesn't count":          {"b", []membership.Member{core(1, "a", 0), core(2, "b", both), core(3, "c", both)}, 0, []units.NodeID{2, 3}, true},
		"a fleet stands":             {"a", []membership.Member{core(1, "a", both), core(2, "b", both), core(3, "c", both), core(4, "d", membership.MayVote|membership.Voter)}, 0, nil, false},
		"a lost one's place":         {"a", []membership.Member{core(1, "a", both), core(2, "b", both), core(3, "c", both), core(5, "c", membership.MayVote)}, 0, nil, false},
		"none counts, at first":      {"a", []membership.Member{core(1, "a", 0), core(2, "b", 0), core(3, "c", membership.Bootstrap), core(4, "d", both), core(5, "e", both)}, 0, []units.NodeID{4, 5}, false},
		"none counts":                {"a", []membership.Member{core(1, "a", 0), core(2, "b", 0), core(3, "c", membership.Bootstrap), core(4, "d", both), core(5, "e", membership.MayVote)}, 2 * time.Second, []units.NodeID{4}, true},
		"none counts, not the first": {"b", []membership.Member{core(1, "a", 0), core(2, "b", 0), core(3, "c", 0), core(4, "d", both)}, 2 * time.Second, []units.NodeID{4}, false},
		"no disk at all, at first":   {"a", []membership.Member{core(1, "a", membership.Bootstrap), core(2, "b", membership.Bootstrap), core(3, "c", membership.Bootstrap), core(4, "d", membership.Bootstrap)}, 2 * time.Second, []units.NodeID{1, 2, 3, 4}, false},
		"no disk at all":             {"a", []membership.Member{core(1, "a", membership.Bootstrap), core(2, "b", membership.Bootstrap), core(3, "c", membership.Bootstrap), core(4, "d", membership.Bootstrap)}, 4 * time.Second, []units.NodeID{1, 2, 3, 4}, true},
	} {
		s := SeedBootstrap{Addr: x.at, SeedAddrs: abc, Participates: true}
		s.Proposal(units.Time(time.Second), NewControllerView(x.all))
		if ids, lead := s.Proposal(units.Time(time.Second+x.after), NewControllerView(x.all)); !slices.Equal(ids, x.ids) || lead != x.lead {
			t.Errorf("%s: %v %v, wanted %v %v", name, ids, lead, x.ids, x.lead)
		}
		s.Participates = false
		if ids, lead := s.Proposal(units.Time(9*time.Second), NewControllerView(x.all)); ids != nil || lead {
			t.Errorf("%s: one that isn't of the first start sees %v", name, ids)
		}
	}
}

// Machines fail, come back, lose their disks, are replaced and leave at random, one at a time: whoever owns the quorum key,
// each step keeps a majority of the next set among those that are there, never drops one that is there without bringing in
// another, keeps at least as many members as bear the losses, and in the end the set is the largest odd number of disks,
// all alive and spread over the zones.
func TestPlannerWalks(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		next := units.NodeID(10)
		zones := 1 + rng.IntN(4)
		var live []membership.Member // at one place each
		for i := range 3 + rng.IntN(6) {
			next++
			m := core(next, fmt.Sprint("m", i), membership.MayVote)
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
		a := &Planner{MinSize: minSize, ReplaceAfter: ReplaceAfter}
		b := &Planner{MinSize: minSize, ReplaceAfter: ReplaceAfter}
		for now := units.Time(0); now < units.Time(60*time.Second); now = now.Add(100 * time.Millisecond) {
			if now < units.Time(20*time.Second) && rng.IntN(10) == 0 {
				switch i := rng.IntN(len(live)); {
				case down[i]:
					delete(down, i)
				case len(down) > 0:
				case rng.IntN(2) == 0:
					down[i] = true
				case !allAlive(q, live):
					// the set bears one loss: the next comes once it is whole again
				default:
					old := live[i]
					old.State = membership.State(rng.IntN(4))
					dead = append(dead, old)
					next++
					addr := old.Addr
					if rng.IntN(2) == 0 {
						old.State, addr = membership.Dead, fmt.Sprint("n", next)
						dead[len(dead)-1] = old
					}
					live[i] = core(next, addr, membership.MayVote)
					live[i].Zone = old.Zone
				}
			} else if now >= units.Time(20*time.Second) {
				clear(down)
			}
			if rng.IntN(20) == 0 {
				for i := range dead {
					dead[i].State = membership.Dead // membership finds out
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
				a, b = b, a // another owner, whose own watch ran as well
			}
			_ = b.NextMembers(now, q, view)
			members := a.NextMembers(now, q, view)
			if members == nil {
				continue
			}
			there := 0
			for _, n := range members {
				if q.Has(n) && (slices.Contains(view.Eligible, n) || !view.Replaced[n] && now.Sub(a.awaySince[n]) < ReplaceAfter) {
					there++
				}
			}
			dropped, came := without(q.Members, members), without(members, q.Members)
			if there <= len(members)/2 || len(members) < minSize {
				t.Fatalf("seed %d: from %v to %v, of which %d are there", seed, q, members, there)
			}
			for _, n := range dropped {
				if slices.Contains(view.Eligible, n) && len(came) == 0 && len(members)%2 == 0 {
					t.Fatalf("seed %d: %d was dropped for nothing: from %v to %v", seed, n, q, members)
				}
			}
			q = QuorumSet{Version: q.Version + 1, Members: members}
		}
		assertSettled(t, seed, q, live)
	}
}

// allAlive says whether every member of the set is one of the machines.
func allAlive(q QuorumSet, live []membership.Member) bool {
	for _, n := range q.Members {
		if !slices.ContainsFunc(live, func(m membership.Member) bool { return m.Node == n }) {
			return false
		}
	}
	return true
}

// assertSettled: the set is the largest odd number of the machines, and no zone holds two more members than another that
// has a machine to spare.
func assertSettled(t *testing.T, seed uint64, q QuorumSet, live []membership.Member) {
	t.Helper()
	if len(q.Members) != odd(len(live)) {
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
		t.Fatalf("seed %d: %v holds machines that are gone", seed, q)
	}
	for zone, n := range spare {
		for other, k := range held {
			if n > 0 && k > held[zone]+1 {
				t.Fatalf("seed %d: %v has %d in %s and %d in %s", seed, q, k, other, held[zone], zone)
			}
		}
	}
}

// Single situations of a set that follows the disks, where losses of one are borne, and what comes of them.
func TestPlannerSteps(t *testing.T) {
	const counts = membership.MayVote
	member := func(n units.NodeID, zone string, flags uint16, state membership.State) membership.Member {
		m := core(n, "a"+n.String(), flags)
		m.Zone, m.State = zone, state
		return m
	}
	alive := func(n units.NodeID, zone string) membership.Member { return member(n, zone, counts, membership.Alive) }
	three := []units.NodeID{1, 2, 3}
	abc := []membership.Member{alive(1, "x"), alive(2, "y"), alive(3, "z")}
	with := func(l ...membership.Member) []membership.Member { return append(slices.Clone(abc), l...) }
	for name, x := range map[string]struct {
		members []units.NodeID
		all     []membership.Member
		after   time.Duration
		want    []units.NodeID
	}{
		"all are there":                         {three, abc, time.Minute, nil},
		"a fourth stands by":                    {three, with(alive(4, "x")), time.Minute, nil},
		"two more come":                         {three, with(alive(4, "x"), alive(5, "y")), 4 * time.Second, []units.NodeID{1, 2, 3, 4, 5}},
		"two more came lately":                  {three, with(alive(4, "x"), alive(5, "y")), time.Second, nil},
		"one counts of the seeds":               {[]units.NodeID{1}, with(alive(4, "x")), time.Minute, []units.NodeID{1, 2, 3}},
		"one leaves, another stands by":         {three, []membership.Member{abc[0], abc[1], member(3, "z", counts|membership.Draining, membership.Alive), alive(4, "z")}, 0, []units.NodeID{1, 2, 4}},
		"one left, another stands by":           {three, []membership.Member{abc[0], abc[1], member(3, "z", counts, membership.Left), alive(4, "z")}, 0, []units.NodeID{1, 2, 4}},
		"one leaves, none stands by":            {three, []membership.Member{abc[0], abc[1], member(3, "z", counts|membership.Draining, membership.Alive)}, time.Minute, nil},
		"one is away for a moment":              {three, []membership.Member{abc[0], abc[1], member(3, "z", counts, membership.Suspect), alive(4, "z")}, time.Second, nil},
		"one is away":                           {three, []membership.Member{abc[0], abc[1], member(3, "z", counts, membership.Suspect), alive(4, "z")}, 2 * time.Second, []units.NodeID{1, 2, 4}},
		"a disk is lost":                        {three, []membership.Member{abc[0], abc[1], abc[2], {Node: 9, Incarnation: 9, Role: membership.Controller, Addr: abc[2].Addr, Flags: counts, Zone: "z"}}, 0, []units.NodeID{1, 2, 9}},
		"two disks of five are lost":            {[]units.NodeID{1, 2, 3, 4, 5}, with(member(4, "x", counts, membership.Dead), member(5, "y", counts, membership.Dead), alive(6, "x"), alive(7, "y")), 2 * time.Second, []units.NodeID{1, 2, 3, 6, 7}},
		"one of five is lost, none stands by":   {[]units.NodeID{1, 2, 3, 4, 5}, with(alive(4, "x"), member(5, "y", counts, membership.Dead)), 2 * time.Second, nil},
		"the same, for long":                    {[]units.NodeID{1, 2, 3, 4, 5}, with(alive(4, "x"), member(5, "y", counts, membership.Dead)), time.Minute, three},
		"two of three are away":                 {three, []membership.Member{abc[0], member(2, "y", counts, membership.Dead), member(3, "z", counts, membership.Dead), alive(4, "y"), alive(5, "z")}, time.Minute, nil},
		"two of three leave":                    {three, []membership.Member{abc[0], member(2, "y", counts|membership.Draining, 0), member(3, "z", counts|membership.Draining, 0), alive(4, "y"), alive(5, "z")}, 0, []units.NodeID{1, 2, 3, 4, 5}},
		"zones are uneven":                      {three, []membership.Member{alive(1, "x"), alive(2, "x"), alive(3, "z"), alive(4, "y")}, time.Minute, []units.NodeID{1, 3, 4}},
		"zones are uneven, lately":              {three, []membership.Member{alive(1, "x"), alive(2, "x"), alive(3, "z"), alive(4, "y")}, time.Second, nil},
		"an even set":                           {[]units.NodeID{1, 2, 3, 4}, with(alive(4, "x")), time.Minute, three},
		"an even set of which one is gone":      {[]units.NodeID{1, 2, 3, 4}, with(member(4, "x", counts, membership.Left)), 0, three},
		"nobody has a disk, a third is removed": {[]units.NodeID{1, 2, 3, 4, 5}, []membership.Member{member(1, "x", 0, 0), member(2, "y", 0, 0), member(3, "z", 0, 0), member(4, "x", 0, membership.Left), member(5, "y", 0, membership.Left)}, 0, three},
	} {
		p := &Planner{MinSize: 3, ReplaceAfter: ReplaceAfter}
		q := QuorumSet{Version: 7, Members: x.members}
		now := units.Time(time.Second)
		_ = p.NextMembers(now, q, NewControllerView(x.all))
		if got := p.NextMembers(now.Add(x.after), q, NewControllerView(x.all)); !slices.Equal(got, x.want) {
			t.Errorf("%s: %v, wanted %v", name, got, x.want)
		}
	}
}
