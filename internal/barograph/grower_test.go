package barograph

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"seamshunt/internal/mast"
	"seamshunt/internal/units"
)

func core(n units.Node, addr string, flags uint16) mast.Member {
	return mast.Member{Node: n, Inc: uint64(n), Role: mast.Barometer, Addr: addr, Flags: flags}
}

// Which set a node sees to found from seeds, and who proposes it (design 13).
func TestSeedsSet(t *testing.T) {
	const both = mast.Counts | mast.First
	abc := []string{"a", "b", "c"}
	for name, x := range map[string]struct {
		at    string
		all   []mast.Member
		after time.Duration
		ids   []units.Node
		lead  bool
	}{
		"all are there":              {"a", []mast.Member{core(1, "a", both), core(2, "b", both), core(3, "c", both), core(4, "d", both)}, 0, []units.Node{1, 2, 3}, true},
		"another's view":             {"d", []mast.Member{core(1, "a", both), core(2, "b", both), core(3, "c", both), core(4, "d", both)}, 0, []units.Node{1, 2, 3}, false},
		"one is missing":             {"a", []mast.Member{core(1, "a", both), core(2, "b", both), core(4, "d", both)}, 9 * time.Second, nil, false},
		"one is of a later start":    {"a", []mast.Member{core(1, "a", both), core(2, "b", both), core(3, "c", mast.Counts)}, 9 * time.Second, nil, false},
		"one doesn't count":          {"b", []mast.Member{core(1, "a", 0), core(2, "b", both), core(3, "c", both)}, 0, []units.Node{2, 3}, true},
		"a fleet stands":             {"a", []mast.Member{core(1, "a", both), core(2, "b", both), core(3, "c", both), core(4, "d", mast.Counts|mast.Voter)}, 0, nil, false},
		"a lost one's place":         {"a", []mast.Member{core(1, "a", both), core(2, "b", both), core(3, "c", both), core(5, "c", mast.Counts)}, 0, nil, false},
		"none counts, at first":      {"a", []mast.Member{core(1, "a", 0), core(2, "b", 0), core(3, "c", mast.First), core(4, "d", both), core(5, "e", both)}, 0, []units.Node{4, 5}, false},
		"none counts":                {"a", []mast.Member{core(1, "a", 0), core(2, "b", 0), core(3, "c", mast.First), core(4, "d", both), core(5, "e", mast.Counts)}, 2 * time.Second, []units.Node{4}, true},
		"none counts, not the first": {"b", []mast.Member{core(1, "a", 0), core(2, "b", 0), core(3, "c", 0), core(4, "d", both)}, 2 * time.Second, []units.Node{4}, false},
		"no disk at all, at first":   {"a", []mast.Member{core(1, "a", mast.First), core(2, "b", mast.First), core(3, "c", mast.First), core(4, "d", mast.First)}, 2 * time.Second, []units.Node{1, 2, 3, 4}, false},
		"no disk at all":             {"a", []mast.Member{core(1, "a", mast.First), core(2, "b", mast.First), core(3, "c", mast.First), core(4, "d", mast.First)}, 4 * time.Second, []units.Node{1, 2, 3, 4}, true},
	} {
		s := Seeds{Addr: x.at, Addrs: abc, First: true}
		s.Set(units.Time(time.Second), LookAt(x.all))
		if ids, lead := s.Set(units.Time(time.Second+x.after), LookAt(x.all)); !slices.Equal(ids, x.ids) || lead != x.lead {
			t.Errorf("%s: %v %v, wanted %v %v", name, ids, lead, x.ids, x.lead)
		}
		s.First = false
		if ids, lead := s.Set(units.Time(9*time.Second), LookAt(x.all)); ids != nil || lead {
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
		var live []mast.Member // at one place each
		for i := range 3 + rng.IntN(6) {
			next++
			live = append(live, core(next, fmt.Sprint("m", i), mast.Counts))
		}
		v := Voters{Ver: 1, Size: 3}
		for _, m := range live[:3] {
			v.IDs = append(v.IDs, m.Node)
		}
		down := map[int]bool{}
		var dead []mast.Member
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
					old.State = mast.State(rng.IntN(3))
					dead = append(dead, old)
					next++
					addr := old.Addr
					if rng.IntN(2) == 0 {
						old.State, addr = mast.Dead, fmt.Sprint("n", next)
						dead[len(dead)-1] = old
					}
					live[i] = core(next, addr, mast.Counts)
				}
			} else if now >= units.Time(20*time.Second) {
				clear(down)
			}
			if rng.IntN(20) == 0 {
				for i := range dead {
					dead[i].State = mast.Dead // membership finds out
				}
			}
			all := slices.Clone(dead)
			for i, m := range live {
				if down[i] {
					m.State = mast.Suspect
				}
				all = append(all, m)
			}
			l := LookAt(all)
			if rng.IntN(50) == 0 {
				g, h = h, g // another owner, whose own watch ran as well
			}
			_, _ = h.Next(now, v, l)
			w, ok := g.Next(now, v, l)
			if !ok {
				continue
			}
			if d := diff(v.IDs, w.IDs); d > 1 || len(w.IDs) < w.Size || w.Size < v.Size {
				t.Fatalf("seed %d: from %v to %v", seed, v, w)
			}
			for _, n := range v.IDs {
				if !slices.Contains(w.IDs, n) && slices.Contains(l.Fit, n) {
					t.Fatalf("seed %d: %d was dropped though it is there", seed, n)
				}
			}
			v = Voters{Ver: v.Ver + 1, Size: w.Size, IDs: w.IDs}
		}
		if len(v.IDs) != len(live) || v.Size != len(live) {
			t.Fatalf("seed %d: %v at the end, of %d machines", seed, v, len(live))
		}
		for _, m := range live {
			if !v.Has(m.Node) {
				t.Fatalf("seed %d: %d does not vote", seed, m.Node)
			}
		}
	}
}
