package scaletest

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"seamshunt/internal/resultcode"
)

func runExperiment(t *testing.T, name string, size SiteSize) Result {
	t.Helper()
	found, err := FindExperiments([]string{name})
	if err != nil {
		t.Fatal(err)
	}
	result, err := Measure(found[0], size)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func findRow(t *testing.T, result Result, role, part string) Row {
	t.Helper()
	for _, row := range result.Rows {
		if row.Role == role && row.Part == part {
			return row
		}
	}
	t.Fatalf("no row of %s, %s", role, part)
	return Row{}
}

func checkRange(t *testing.T, what string, got, low, high float64) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("%s: got %v, want %v to %v", what, got, low, high)
	}
}

// Every experiment runs at a small size and does what it should, by its counts. Times are measured but not checked.
func TestExperimentsSmall(t *testing.T) {
	size := ScaledSite(12, 3)
	for _, e := range Experiments {
		t.Run(e.Name, func(t *testing.T) {
			result := runExperiment(t, e.Name, size)
			router, membership := findRow(t, result, "router", "all"), findRow(t, result, "router", "membership")
			if e.Name != "region" && e.Name != "heal" && result.ChangeResults[resultcode.OK] == 0 {
				t.Errorf("changes %v", result.ChangeResults)
			}
			if router.CorePercent <= 0 || router.HeapKB <= 0 || result.ReadyAfter <= 0 {
				t.Errorf("nothing was measured: %+v", router)
			}
			switch e.Name {
			case "rest": // 2.5 probes per second, and as many acknowledgements of the probes of others
				checkRange(t, "messages", membership.Messages, 4.8, 5.2)
				checkRange(t, "all messages of an idle router", router.Messages, 4.8, 5.2)
				checkRange(t, "bytes per message", membership.BytesOut/membership.Messages, 100, 220)
				checkRange(t, "bytes received", membership.BytesIn, 0.9*membership.BytesOut, 1.1*membership.BytesOut)
			case "serve": // 1700/400 permits per second are acquired, granted and released; many of these messages stay in the node
				permits := findRow(t, result, "router", "permits")
				checkRange(t, "messages for permits", permits.Messages, 4.25, 200)
				if n := result.Decisions[resultcode.OK]; n < 2000 || len(result.Decisions) != 1 {
					t.Errorf("decisions %v", result.Decisions)
				}
			case "claim":
				if n := result.ClaimResults[resultcode.OK]; n < 300 || len(result.ClaimResults) != 1 {
					t.Errorf("claims %v", result.ClaimResults)
				}
				if b := findRow(t, result, "controller", "all"); b.DiskSyncs == 0 || b.DiskBytes == 0 {
					t.Errorf("nothing was written: %+v", b)
				}
			case "config":
				if result.ChangeResults[resultcode.OK] != 6 || result.MaxApplyTime <= 0 {
					t.Errorf("changes %v, applied after %v", result.ChangeResults, result.MaxApplyTime)
				}
				checkRange(t, "bytes of configuration push received", findRow(t, result, "router", "news").BytesIn,
					float64(len(ConfigDocument(size.Models, size.Tenants, "")))/2, 1e5)
			case "workers":
				checkRange(t, "bytes of configuration push received", findRow(t, result, "router", "news").BytesIn, 100, 1e5)
			case "region":
				checkRange(t, "bytes of membership", membership.BytesOut, 1000, 1e5)
			}
		})
	}
}

// Two runs with the same seed have the same counts.
func TestSameSeedSameCounts(t *testing.T) {
	a, b := runExperiment(t, "serve", ScaledSite(6, 5)), runExperiment(t, "serve", ScaledSite(6, 5))
	if len(a.Rows) != len(b.Rows) {
		t.Fatalf("%d rows, then %d", len(a.Rows), len(b.Rows))
	}
	for i, x := range a.Rows {
		if y := b.Rows[i]; x.Messages != y.Messages || x.BytesOut != y.BytesOut || x.BytesIn != y.BytesIn ||
			x.DiskSyncs != y.DiskSyncs || x.DiskBytes != y.DiskBytes {
			t.Errorf("%+v, then %+v", x, y)
		}
	}
}

// Fitted lines, tables and the plot are right for known rows.
func TestFitTableAndPlot(t *testing.T) {
	var rows []Row
	for _, n := range []int{10, 50, 100, 200} {
		x := float64(n)
		rows = append(rows, Row{Experiment: "rest", Size: n, Role: "router", Part: "all",
			Messages: 5, BytesOut: 1024 + 32*x, BytesIn: 7, CorePercent: 0.5, HeapKB: 100 + x})
	}
	found := false
	for _, l := range FitLines(rows) {
		if l.Measure != "out_bytes_s" {
			continue
		}
		found = true
		checkRange(t, "slope", l.Slope, 31.999, 32.001)
		checkRange(t, "base", l.Intercept, 1023.9, 1024.1)
		checkRange(t, "R^2", l.R2, 0.999, 1)
		checkRange(t, "at full size", l.AtFullSize, 13823, 13825)
		checkRange(t, "size at the ceiling", l.CeilingSize, 255, 257)
		if l.FullSizeMeasured {
			t.Error("the full size counts as measured, but was not run")
		}
	}
	if !found {
		t.Error("no line was fitted to out_bytes_s")
	}
	if len(FitLines(rows[:2])) > 0 {
		t.Error("a line was fitted to two sizes")
	}
	var csv, md bytes.Buffer
	if err := WriteCSV(&csv, rows); err != nil || strings.Count(csv.String(), "\n") != 5 ||
		!strings.Contains(csv.String(), "rest,router,all,200,5,7424,") {
		t.Errorf("%v\n%s", err, csv.String())
	}
	if err := WriteMarkdown(&md, rows, FitLines(rows)); err != nil ||
		!strings.Contains(md.String(), "| 1344 | 2624 | 4224 | 7424 | 32 | 1.000 | 256 |") {
		t.Errorf("%v\n%s", err, md.String())
	}
	if err := WritePlot(filepath.Join(t.TempDir(), "x.svg"), rows); err != nil {
		t.Error(err)
	}
}

// Frames are sent over real connections.
func TestMeasureFrames(t *testing.T) {
	if d, err := MeasureFrames(50, 124); err != nil || d <= 0 {
		t.Errorf("%v %v", d, err)
	}
}

// The sizes of sites are limited by memory.
func TestSizeLimits(t *testing.T) {
	maxRouters := MaxRouters(6 << 30)
	if RequiredMemory(maxRouters) > 6<<30 || RequiredMemory(maxRouters+1) <= 6<<30 || maxRouters < 400 {
		t.Errorf("%d routers fit, which take %d bytes", maxRouters, RequiredMemory(maxRouters))
	}
	for _, bad := range [][]int{nil, {0}, {12, -1}, {maxRouters + 1}} {
		if CheckSizes(bad, 6<<30) == nil {
			t.Errorf("%v is accepted", bad)
		}
	}
	if err := CheckSizes([]int{1, maxRouters}, 6<<30); err != nil {
		t.Error(err)
	}
}
