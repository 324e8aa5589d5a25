package scaletest

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"seamshunt/internal/resultcode"
)

func measured(t *testing.T, name string, s SiteSize) Result {
	t.Helper()
	l, err := FindExperiments([]string{name})
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
	s := ScaledSite(12, 3)
	for _, e := range Experiments {
		t.Run(e.Name, func(t *testing.T) {
			r := measured(t, e.Name, s)
			router, member := row(t, r, "router", "all"), row(t, r, "router", "membership")
			if e.Name != "region" && e.Name != "heal" && r.ChangeResults[resultcode.OK] == 0 {
				t.Errorf("changes %v", r.ChangeResults)
			}
			if router.CorePercent <= 0 || router.HeapKB <= 0 || r.ReadyAfter <= 0 {
				t.Errorf("nothing was measured: %+v", router)
			}
			switch e.Name {
			case "rest": // a probe and an acknowledgement of another's, 2.5 times a second each
				near(t, "notes", member.Messages, 4.8, 5.2)
				near(t, "all notes of a router at rest", router.Messages, 4.8, 5.2)
				near(t, "bytes a note", member.BytesOut/member.Messages, 100, 220)
				near(t, "bytes taken", member.BytesIn, 0.9*member.BytesOut, 1.1*member.BytesOut)
			case "serve": // 1700/400 requests a second ask, are granted and give back; many of them at the node itself
				permits := row(t, r, "router", "permits")
				near(t, "notes of permits", permits.Messages, 4.25, 200)
				if n := r.Decisions[resultcode.OK]; n < 2000 || len(r.Decisions) != 1 {
					t.Errorf("verdicts %v", r.Decisions)
				}
			case "claim":
				if n := r.ClaimResults[resultcode.OK]; n < 300 || len(r.ClaimResults) != 1 {
					t.Errorf("claims %v", r.ClaimResults)
				}
				if b := row(t, r, "controller", "all"); b.DiskSyncs == 0 || b.DiskBytes == 0 {
					t.Errorf("nothing written: %+v", b)
				}
			case "config":
				if r.ChangeResults[resultcode.OK] != 6 || r.MaxApplyTime <= 0 {
					t.Errorf("changes %v, in force after %v", r.ChangeResults, r.MaxApplyTime)
				}
				near(t, "bytes of news taken", row(t, r, "router", "news").BytesIn, float64(len(ConfigDocument(s.Models, s.Tenants, "")))/2, 1e5)
			case "workers":
				near(t, "bytes of news taken", row(t, r, "router", "news").BytesIn, 100, 1e5)
			case "region":
				near(t, "bytes of membership", member.BytesOut, 1000, 1e5)
			}
		})
	}
}

// One seed gives the same counts twice.
func TestSameSeedSameCounts(t *testing.T) {
	a, b := measured(t, "serve", ScaledSite(6, 5)), measured(t, "serve", ScaledSite(6, 5))
	if len(a.Rows) != len(b.Rows) {
		t.Fatalf("%d rows, then %d", len(a.Rows), len(b.Rows))
	}
	for i, x := range a.Rows {
		if y := b.Rows[i]; x.Messages != y.Messages || x.BytesOut != y.BytesOut || x.BytesIn != y.BytesIn || x.DiskSyncs != y.DiskSyncs || x.DiskBytes != y.DiskBytes {
			t.Errorf("%+v, then %+v", x, y)
		}
	}
}

// The lines, the tables and the plot of rows that are known.
func TestFitTableAndPlot(t *testing.T) {
	var rows []Row
	for _, n := range []int{10, 50, 100, 200} {
		x := float64(n)
		rows = append(rows, Row{Experiment: "rest", Size: n, Role: "router", Part: "all", Messages: 5, BytesOut: 1024 + 32*x, BytesIn: 7, CorePercent: 0.5, HeapKB: 100 + x})
	}
	found := false
	for _, l := range FitLines(rows) {
		if l.Measure != "out_bytes_s" {
			continue
		}
		found = true
		near(t, "slope", l.Slope, 31.999, 32.001)
		near(t, "base", l.Intercept, 1023.9, 1024.1)
		near(t, "R^2", l.R2, 0.999, 1)
		near(t, "at full size", l.AtFullSize, 13823, 13825)
		near(t, "ceiling met at", l.CeilingSize, 255, 257)
		if l.FullSizeMeasured {
			t.Error("400 was not run")
		}
	}
	if !found {
		t.Error("no line")
	}
	if len(FitLines(rows[:2])) > 0 {
		t.Error("a line through two sizes")
	}
	var csv, md bytes.Buffer
	if err := WriteCSV(&csv, rows); err != nil || strings.Count(csv.String(), "\n") != 5 || !strings.Contains(csv.String(), "rest,router,all,200,5,7424,") {
		t.Errorf("%v\n%s", err, csv.String())
	}
	if err := WriteMarkdown(&md, rows, FitLines(rows)); err != nil || !strings.Contains(md.String(), "| 1344 | 2624 | 4224 | 7424 | 32 | 1.000 | 256 |") {
		t.Errorf("%v\n%s", err, md.String())
	}
	if err := WritePlot(filepath.Join(t.TempDir(), "x.svg"), rows); err != nil {
		t.Error(err)
	}
}

// Frames go over real wires.
func TestFrames(t *testing.T) {
	if d, err := MeasureFrames(50, 124); err != nil || d <= 0 {
		t.Errorf("%v %v", d, err)
	}
}

// Sizes are bounded by memory.
func TestBounds(t *testing.T) {
	m := MaxRouters(6 << 30)
	if RequiredMemory(m) > 6<<30 || RequiredMemory(m+1) <= 6<<30 || m < 400 {
		t.Errorf("%d fit, for %d bytes", m, RequiredMemory(m))
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
