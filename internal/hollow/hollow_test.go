package hollow

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"seamshunt/internal/resultcode"
)

func measured(t *testing.T, name string, s Shape) Result {
	t.Helper()
	l, err := Find([]string{name})
	if err != nil {
		t.Fatal(err)
	}
	r, err := Measure(l[0], s)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func row(t *testing.T, r Result, role, part string) Row {
	t.Helper()
	for _, x := range r.Rows {
		if x.Role == role && x.Part == part {
			return x
		}
	}
	t.Fatalf("no row of %s, %s", role, part)
	return Row{}
}

func near(t *testing.T, what string, got, least, most float64) {
	t.Helper()
	if got < least || got > most {
		t.Errorf("%s: %v, not from %v to %v", what, got, least, most)
	}
}

// Every experiment at a small size: what each must have done, by counts. Times are measured and not judged.
func TestExperimentsSmall(t *testing.T) {
	s := At(12, 3)
	for _, e := range Experiments {
		t.Run(e.Name, func(t *testing.T) {
			r := measured(t, e.Name, s)
			router, member := row(t, r, "router", "all"), row(t, r, "router", "membership")
			if e.Name != "region" && e.Name != "heal" && r.Changes[resultcode.OK] == 0 {
				t.Errorf("changes %v", r.Changes)
			}
			if router.Core <= 0 || router.HeapKB <= 0 || r.Ready <= 0 {
				t.Errorf("nothing was measured: %+v", router)
			}
			switch e.Name {
			case "rest": // a probe and an acknowledgement of another's, 2.5 times a second each
				near(t, "notes", member.Notes, 4.8, 5.2)
				near(t, "all notes of a router at rest", router.Notes, 4.8, 5.2)
				near(t, "bytes a note", member.Out/member.Notes, 100, 220)
				near(t, "bytes taken", member.In, 0.9*member.Out, 1.1*member.Out)
			case "serve": // 1700/400 requests a second ask, are granted and give back; many of them at the node itself
				permits := row(t, r, "router", "permits")
				near(t, "notes of permits", permits.Notes, 4.25, 200)
				if n := r.Verdicts[resultcode.OK]; n < 2000 || len(r.Verdicts) != 1 {
					t.Errorf("verdicts %v", r.Verdicts)
				}
			case "claim":
				if n := r.Claimed[resultcode.OK]; n < 300 || len(r.Claimed) != 1 {
					t.Errorf("claims %v", r.Claimed)
				}
				if b := row(t, r, "controller", "all"); b.Writes == 0 || b.Disk == 0 {
					t.Errorf("nothing written: %+v", b)
				}
			case "config":
				if r.Changes[resultcode.OK] != 6 || r.Force <= 0 {
					t.Errorf("changes %v, in force after %v", r.Changes, r.Force)
				}
				near(t, "bytes of news taken", row(t, r, "router", "news").In, float64(len(Config(s.Models, s.Tenants, "")))/2, 1e5)
			case "workers":
				near(t, "bytes of news taken", row(t, r, "router", "news").In, 100, 1e5)
			case "region":
				near(t, "bytes of membership", member.Out, 1000, 1e5)
			}
		})
	}
}

// One seed gives the same counts twice.
func TestSameSeedSameCounts(t *testing.T) {
	a, b := measured(t, "serve", At(6, 5)), measured(t, "serve", At(6, 5))
	if len(a.Rows) != len(b.Rows) {
		t.Fatalf("%d rows, then %d", len(a.Rows), len(b.Rows))
	}
	for i, x := range a.Rows {
		if y := b.Rows[i]; x.Notes != y.Notes || x.Out != y.Out || x.In != y.In || x.Writes != y.Writes || x.Disk != y.Disk {
			t.Errorf("%+v, then %+v", x, y)
		}
	}
}

// The lines, the tables and the plot of rows that are known.
func TestFitTableAndPlot(t *testing.T) {
	var rows []Row
	for _, n := range []int{10, 50, 100, 200} {
		x := float64(n)
		rows = append(rows, Row{Experiment: "rest", Size: n, Role: "router", Part: "all", Notes: 5, Out: 1024 + 32*x, In: 7, Core: 0.5, HeapKB: 100 + x})
	}
	found := false
	for _, l := range Fit(rows) {
		if l.Measure != "out_bytes_s" {
			continue
		}
		found = true
		near(t, "slope", l.Slope, 31.999, 32.001)
		near(t, "base", l.Base, 1023.9, 1024.1)
		near(t, "R^2", l.R2, 0.999, 1)
		near(t, "at full size", l.At, 13823, 13825)
		near(t, "ceiling met at", l.Cross, 255, 257)
		if l.Ran {
			t.Error("400 was not run")
		}
	}
	if !found {
		t.Error("no line")
	}
	if len(Fit(rows[:2])) > 0 {
		t.Error("a line through two sizes")
	}
	var csv, md bytes.Buffer
	if err := Table(&csv, rows); err != nil || strings.Count(csv.String(), "\n") != 5 || !strings.Contains(csv.String(), "rest,router,all,200,5,7424,") {
		t.Errorf("%v\n%s", err, csv.String())
	}
	if err := Markdown(&md, rows, Fit(rows)); err != nil || !strings.Contains(md.String(), "| 1344 | 2624 | 4224 | 7424 | 32 | 1.000 | 256 |") {
		t.Errorf("%v\n%s", err, md.String())
	}
	if err := Plot(filepath.Join(t.TempDir(), "x.svg"), rows); err != nil {
		t.Error(err)
	}
}

// Frames go over real wires.
func TestFrames(t *testing.T) {
	if d, err := Frames(50, 124); err != nil || d <= 0 {
		t.Errorf("%v %v", d, err)
	}
}

// Sizes are bounded by memory.
func TestBounds(t *testing.T) {
	m := Most(6 << 30)
	if Need(m) > 6<<30 || Need(m+1) <= 6<<30 || m < 400 {
		t.Errorf("%d fit, for %d bytes", m, Need(m))
	}
	for _, bad := range [][]int{nil, {0}, {12, -1}, {m + 1}} {
		if CheckSizes(bad, 6<<30) == nil {
			t.Errorf("%v is taken", bad)
		}
	}
	if err := CheckSizes([]int{1, m}, 6<<30); err != nil {
		t.Error(err)
	}
}
