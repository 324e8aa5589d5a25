package discovery

import (
	"fmt"
	"testing"
	"time"

	"seamshunt/internal/config"
	"seamshunt/internal/units"
)

type told struct {
	key  string
	num  units.Version
	data []byte
}

func list(age time.Duration, leaving ...string) []config.Worker {
	l := []config.Worker{{ID: "w1", Addr: "a1", Zone: "z", Age: time.Hour}, {ID: "w2", Addr: "a2", Zone: "z", Age: age}}
	for i := range l {
		for _, id := range leaving {
			l[i].Draining = l[i].Draining || l[i].ID == id
		}
	}
	return l
}

func orders(n int, do func([]int)) {
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

// Two askers that do not hear of each other. The first asked before the mark, but its answer is told on late and
// bears the higher number; the second saw the mark. In every order of what arrives, the mark stands as soon as it
// was heard, until a list whose asker knew of it takes it back.
func TestOrdersOfSightings(t *testing.T) {
	a, b := New(), New()
	hear := func(n *Catalog, s told) {
		if _, err := n.Apply(0, s.key, s.num, s.data); err != nil {
			t.Fatal(err)
		}
	}
	tell := func(n *Catalog, self units.NodeID, wall int64, l []config.Worker) told {
		q := n.NewQuery(0, "main", self, wall)
		data, news := n.RecordAnswer(q, l)
		if !news {
			t.Fatalf("no news of %v", l)
		}
		s := told{Key("main", self), q.Version, data}
		hear(n, s)
		return s
	}
	first := tell(a, 1, 100, list(time.Hour))
	hear(b, first)
	early := b.NewQuery(0, "main", 2, 900)                    // asked before the mark, told on late: list(joined)
	mark := tell(a, 1, 200, list(time.Hour, "w2"))            // does not know of that question
	data, _ := b.RecordAnswer(early, list(2 * time.Hour)[:1]) // the platform did not list w2 yet
	late := told{Key("main", 2), early.Version, data}
	hear(b, late)
	hear(b, mark)
	again := tell(b, 2, 901, list(time.Hour)) // not leaving any more, and its asker knew of the mark
	all := []told{first, mark, late, again}
	orders(len(all), func(o []int) {
		v := New()
		marked, freed := false, false
		for _, i := range o {
			hear(v, all[i])
			marked, freed = marked || i == 1, freed || i == 3
			leaving := false
			for _, w := range v.List("main") {
				leaving = leaving || w.ID == "w2" && w.Draining
			}
			if leaving != (marked && !freed) {
				t.Errorf("order %v, after %d: marked %v, taken back %v, leaving %v", o, i, marked, freed, leaving)
			}
		}
	})
}

// A worker started again in its place, or listed again after it was gone, warms anew everywhere; an old list that
// comes late makes nothing young.
func TestStartedAgain(t *testing.T) {
	n, v := New(), New()
	at := func(s int) units.Time { return units.Time(time.Duration(s) * time.Second) }
	step := func(sec int, l []config.Worker, want bool) {
		t.Helper()
		l[0].Age += time.Duration(sec) * time.Second // w1 runs on
		q := n.NewQuery(at(sec), "main", 1, int64(sec)*1000)
		data, news := n.RecordAnswer(q, l)
		if news != want {
			t.Errorf("at %d s news %v", sec, news)
		}
		if news {
			for i, x := range []*Catalog{n, v} {
				// The other hears of it four seconds late.
				if _, err := x.Apply(at(sec+4*i), Key("main", 1), q.Version, data); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	step(10, list(10*time.Second), true)
	step(20, list(20*time.Second), false)
	step(30, list(time.Second), true) // started again in place at 29 s
	if got := v.StartTimes()["w2"]; got != at(33) {
		t.Errorf("started at %v", time.Duration(got))
	}
	if got := v.StartTimes()["w1"]; got != at(4).Add(-time.Hour) {
		t.Errorf("the other one was made younger: %v", time.Duration(got))
	}
	step(40, list(11 * time.Second)[:1], true) // gone
	step(50, list(0), true)                    // listed again, cold
	if got := n.StartTimes()["w2"]; got != at(50) {
		t.Errorf("listed again: %v", time.Duration(got))
	}
}

// A number goes past every one given before, whatever the calendar says; what can't be read changes nothing.
func TestNumbersAndBadNews(t *testing.T) {
	n := New()
	q := n.NewQuery(0, "main", 1, 5000)
	data, _ := n.RecordAnswer(q, list(0))
	if _, err := n.Apply(0, Key("main", 1), q.Version, data); err != nil {
		t.Fatal(err)
	}
	if q := n.NewQuery(0, "main", 1, 10); q.Version != 5001 {
		t.Errorf("after a calendar set back: number %d", q.Version)
	}
	for i, bad := range []string{"", "{}", `{"workers":[{"id":""}]}`, `{"workers":3}`, `{"workers":[],"knew":4}`} {
		if _, err := n.Apply(0, Key("main", 2), units.Version(i+1), []byte(bad)); (err == nil) != (i == 4) || len(n.List("main")) != 2 {
			t.Errorf("%q: %v, %d listed", bad, err, len(n.List("main")))
		}
	}
	if fmt.Sprint(n.List("none")) != "[]" {
		t.Error("an unknown pool has workers")
	}
}
