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

func core(n units.Node, addr string, flags uint16) membership.Member {
	return membership.Member{Node: n, Inc: uint64(n), Role: membership.Controller, Addr: addr, Flags: flags}
}

// Which set a node sees to found from seeds, and who proposes it (design 13).
func TestSeedsSet(t *testing.T) {
	const both = membership.Counts | membership.First
	abc := []string{"a", "b", "c"}
	for name, x := range map[string]struct {
		at    string
		all   []membership.Member
		after time.Duration
		ids   []units.Node
		lead  bool
	}{
		"all are there":              {"a", []membership.Member{core(1, "a", both), core(2, "b", both), core(3, "c", both), core(4, "d", both)}, 0, []units.Node{1, 2, 3}, true},
		"another's view":             {"d", []membership.Member{core(1, "a", both), core(2, "b", both), core(3, "c", both), core(4, "d", both)}, 0, []units.Node{1, 2, 3}, false},
		"one is missing":             {"a", []membership.Member{core(1, "a", both), core(2, "b", both), core(4, "d", both)}, 9 * time.Second, nil, false},
		"one is of a later start":    {"a", []membership.Member{core(1, "a", both), core(2, "b", both), core(3, "c", membership.Counts)}, 9 * time.Second, nil, false},
		"one doesn't count":          {"b", []membership.Member{core(1, "a", 0), core(2, "b", both), core(3, "c", both)}, 0, []units.Node{2, 3}, true},
		"a fleet stands":             {"a", []membership.Member{core(1, "a", both), core(2, "b", both), core(3, "c", both), core(4, "d", membership.Counts|membership.Voter)}, 0, nil, false},
		"a lost one's place":         {"a", []membership.Member{core(1, "a", both), core(2, "b", both), core(3, "c", both), core(5, "c", membership.Counts)}, 0, nil, false},
		"none counts, at first":      {"a", []membership.Member{core(1, "a", 0), core(2, "b", 0), core(3, "c", membership.First), core(4, "d", both), core(5, "e", both)}, 0, []units.Node{4, 5}, false},
		"none counts":                {"a", []membership.Member{core(1, "a", 0), core(2, "b", 0), core(3, "c", membership.First), core(4, "d", both), core(5, "e", membership.Counts)}, 2 * time.Second, []units.Node{4}, true},
		"none counts, not the first": {"b", []membership.Member{core(1, "a", 0), core(2, "b", 0), core(3, "c", 0), core(4, "d", both)}, 2 * time.Second, []units.Node{4}, false},
		"no disk at all, at first":   {"a", []membership.Member{core(1, "a", membership.First), core(2, "b", membership.First), core(3, "c", membership.First), core(4, "d", membership.First)}, 2 * time.Second, []units.Node{1, 2, 3, 4}, false},
		"no disk at all":             {"a", []membership.Member{core(1, "a", membership.First), core(2, "b", membership.First), core(3, "c", membership.First), core(4, "d", membership.First)}, 4 * time.Second, []units.Node{1, 2, 3, 4}, true},
	} {
		s := Seeds{Addr: x.at, Addrs: abc, First: true}
		s.Set(units.Time(time.Second), ViewCore(x.all))
		if ids, lead := s.Set(units.Time(time.Second+x.after), ViewCore(x.all)); !slices.Equal(ids, x.ids) || lead != x.lead {
			t.Errorf("%s: %v %v, wanted %v %v", name, ids, lead, x.ids, x.lead)
		}
		s.First = false
		if ids, lead := s.Set(units.Time(9*time.Second), ViewCore(x.all)); ids != nil || lead {
			t.Errorf("%s: one that isn't of the first start sees %v", name, ids)
		}
	}
}

// Machines fail, come back, lose their disks and are replaced at random: whoever owns the voters, the set changes by one
// disk at a time, never holds fewer than its size, never drops one that is there, and in the end is all disks that count.
func TestGrowerWalks(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		next := units.Node(10)
		var live []membership.Member // at one place each
		for i := range 3 + rng.IntN(6) {
			next++
			live = append(live, core(next, fmt.Sprint("m", i), membership.Counts))
		}
		v := QuorumSet{Version: 1, Size: 3}
		for _, m := range live[:3] {
			v.Members = append(v.Members, m.Node)
		}
		down := map[int]bool{}
		var dead []membership.Member
		g, h := &Grower{}, &Grower{}
		for now := units.Time(0); now < units.Time(40*time.Second); now = now.Add(100 * time.Millisecond) {
			if now < units.Time(20*time.Second) && rng.IntN(10) == 0 {
				switch i := rng.IntN(len(live)); {
				case down[i]:
					delete(down, i)
				case len(down) > 0:
				case rng.IntN(2) == 0:
					down[i] = true
				default:
					old := live[i]
					old.State = membership.State(rng.IntN(3))
					dead = append(dead, old)
					next++
					addr := old.Addr
					if rng.IntN(2) == 0 {
						old.State, addr = membership.Dead, fmt.Sprint("n", next)
						dead[len(dead)-1] = old
					}
					live[i] = core(next, addr, membership.Counts)
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
			l := ViewCore(all)
			if rng.IntN(50) == 0 {
				g, h = h, g // another owner, whose own watch ran as well
			}
			_, _ = h.Next(now, v, l)
			w, ok := g.Next(now, v, l)
			if !ok {
				continue
			}
			if d := diff(v.Members, w.Members); d > 1 || len(w.Members) < w.Size || w.Size < v.Size {
				t.Fatalf("seed %d: from %v to %v", seed, v, w)
			}
			for _, n := range v.Members {
				if !slices.Contains(w.Members, n) && slices.Contains(l.Eligible, n) {
					t.Fatalf("seed %d: %d was dropped though it is there", seed, n)
				}
			}
			v = QuorumSet{Version: v.Version + 1, Size: w.Size, Members: w.Members}
		}
		if len(v.Members) != len(live) || v.Size != len(live) {
			t.Fatalf("seed %d: %v at the end, of %d machines", seed, v, len(live))
		}
		for _, m := range live {
			if !v.Has(m.Node) {
				t.Fatalf("seed %d: %d does not vote", seed, m.Node)
			}
		}
	}
}
