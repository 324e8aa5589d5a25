package discovery

import (
	"fmt"
	"testing"
	"time"

	"seamshunt/internal/config"
	"seamshunt/internal/units"
)

type update struct {
	key     string
	version units.Version
	data    []byte
}

func workerList(age time.Duration, leaving ...string) []config.Worker {
	l := []config.Worker{{ID: "w1", Addr: "a1", Zone: "z", Age: time.Hour}, {ID: "w2", Addr: "a2", Zone: "z", Age: age}}
	for i := range l {
		for _, id := range leaving {
			l[i].Draining = l[i].Draining || l[i].ID == id
		}
	}
	return l
}

func permutations(n int, do func([]int)) {
	var walk func(left, done []int)
	walk = func(left, done []int) {
		if len(left) == 0 {
			do(done)
		}
		for i, x := range left {
			walk(append(append([]int(nil), left[:i]...), left[i+1:]...), append(append([]int(nil), done...), x))
		}
	}
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	walk(all, nil)
}

// Two observers query the platform without knowing of each other's queries. One query starts before a worker is marked as
// leaving, but its answer is distributed late and has the higher version; the other sees the mark. In every order of
// arrival the mark holds once received, until a list whose observer knew of the mark clears it.
func TestObservationsInAnyOrder(t *testing.T) {
	a, b := New(), New()
	apply := func(n *Catalog, s update) {
		if _, err := n.Apply(0, s.key, s.version, s.data); err != nil {
			t.Fatal(err)
		}
	}
	observe := func(n *Catalog, self units.NodeID, wallMillis int64, l []config.Worker) update {
		q := n.NewQuery(0, "main", self, wallMillis)
		data, changed := n.RecordAnswer(q, l)
		if !changed {
			t.Fatalf("nothing new in %v", l)
		}
		s := update{Key("main", self), q.Version, data}
		apply(n, s)
		return s
	}
	first := observe(a, 1, 100, workerList(time.Hour))
	apply(b, first)
	early := b.NewQuery(0, "main", 2, 900)                          // starts before the mark, distributed late
	marking := observe(a, 1, 200, workerList(time.Hour, "w2"))      // doesn't know of that query
	data, _ := b.RecordAnswer(early, workerList(2 * time.Hour)[:1]) // the platform did not list w2 yet
	late := update{Key("main", 2), early.Version, data}
	apply(b, late)
	apply(b, marking)
	again := observe(b, 2, 901, workerList(time.Hour)) // no longer leaving, and its observer knew of the mark
	all := []update{first, marking, late, again}
	permutations(len(all), func(o []int) {
		v := New()
		marked, cleared := false, false
		for _, i := range o {
			apply(v, all[i])
			marked, cleared = marked || i == 1, cleared || i == 3
			leaving := false
			for _, w := range v.List("main") {
				leaving = leaving || w.ID == "w2" && w.Draining
			}
			if leaving != (marked && !cleared) {
				t.Errorf("order %v, after %d: marked %v, cleared %v, leaving %v", o, i, marked, cleared, leaving)
			}
		}
	})
}

// A worker that restarts in place, or is listed again after it was missing, warms up again in every catalog. An old list
// that arrives late doesn't make a worker newer.
func TestWorkerRestarts(t *testing.T) {
	first, second := New(), New()
	at := func(s int) units.Time { return units.Time(time.Duration(s) * time.Second) }
	step := func(sec int, l []config.Worker, want bool) {
		t.Helper()
		l[0].Age += time.Duration(sec) * time.Second // w1 keeps running
		q := first.NewQuery(at(sec), "main", 1, int64(sec)*1000)
		data, changed := first.RecordAnswer(q, l)
		if changed != want {
			t.Errorf("at %d s changed is %v", sec, changed)
		}
		if changed {
			for i, x := range []*Catalog{first, second} {
				// The other catalog receives it four seconds later.
				if _, err := x.Apply(at(sec+4*i), Key("main", 1), q.Version, data); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	step(10, workerList(10*time.Second), true)
	step(20, workerList(20*time.Second), false)
	step(30, workerList(time.Second), true) // restarted in place at 29 s
	if got := second.StartTimes()["w2"]; got != at(33) {
		t.Errorf("started at %v", time.Duration(got))
	}
	if got := second.StartTimes()["w1"]; got != at(4).Add(-time.Hour) {
		t.Errorf("the start time of the other worker changed: %v", time.Duration(got))
	}
	step(40, workerList(11 * time.Second)[:1], true) // not listed
	step(50, workerList(0), true)                    // listed again, just started
	if got := first.StartTimes()["w2"]; got != at(50) {
		t.Errorf("listed again: %v", time.Duration(got))
	}
}

// A query's version exceeds every earlier one even if the wall clock is set back. An invalid update changes nothing.
func TestVersionsAndInvalidUpdates(t *testing.T) {
	c := New()
	q := c.NewQuery(0, "main", 1, 5000)
	data, _ := c.RecordAnswer(q, workerList(0))
	if _, err := c.Apply(0, Key("main", 1), q.Version, data); err != nil {
		t.Fatal(err)
	}
	if q := c.NewQuery(0, "main", 1, 10); q.Version != 5001 {
		t.Errorf("after the wall clock was set back: version %d", q.Version)
	}
	for i, bad := range []string{"", "{}", `{"workers":[{"id":""}]}`, `{"workers":3}`, `{"workers":[],"knew":4}`} {
		if _, err := c.Apply(0, Key("main", 2), units.Version(i+1), []byte(bad)); (err == nil) != (i == 4) || len(c.List("main")) != 2 {
			t.Errorf("%q: %v, %d listed", bad, err, len(c.List("main")))
		}
	}
	if fmt.Sprint(c.List("none")) != "[]" {
		t.Error("an unknown pool has workers")
	}
}
