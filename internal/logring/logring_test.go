package logring

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
)

// newEntry returns a log entry with the given level and time.
func newEntry(level log.Level, at time.Time, message string) *log.Entry {
	return &log.Entry{Level: level, Timestamp: at, Message: message, Fields: log.Fields{}}
}

// Warnings are written immediately, up to a limit per window; the rest stays in memory until a dump.
func TestWarningsAreWrittenImmediately(t *testing.T) {
	var out strings.Builder
	r := New(64, &out)
	start := time.Unix(1000, 0)
	_ = r.HandleLog(newEntry(log.InfoLevel, start, "quiet"))
	for i := range maxWarnings + 5 {
		_ = r.HandleLog(newEntry(log.WarnLevel, start, fmt.Sprint("warning ", i)))
	}
	if n := strings.Count(out.String(), "\n"); n != maxWarnings || strings.Contains(out.String(), "quiet") {
		t.Fatalf("%d lines written immediately, want %d:\n%s", n, maxWarnings, out.String())
	}
	_ = r.HandleLog(newEntry(log.WarnLevel, start.Add(warningWindow+1), "later"))
	if !strings.Contains(out.String(), "later") {
		t.Error("no warning is written in the next window")
	}
	r.Dump()
	if n := strings.Count(out.String(), "warning "); n != maxWarnings+5 || !strings.Contains(out.String(), "quiet") {
		t.Errorf("%d warnings after a dump, want each of %d once", n, maxWarnings+5)
	}
}

// A wall clock that jumps back does not suppress warnings.
func TestWarningsAfterClockJumpsBack(t *testing.T) {
	var out strings.Builder
	r := New(64, &out)
	at := time.Unix(1000, 0)
	for range maxWarnings + 1 {
		_ = r.HandleLog(newEntry(log.WarnLevel, at, "early"))
	}
	_ = r.HandleLog(newEntry(log.WarnLevel, at.Add(-time.Hour), "jumped"))
	if !strings.Contains(out.String(), "jumped") {
		t.Error("a warning after the clock jumped back is not written")
	}
}

// An error writes out the lines in memory, at most once per dump interval.
func TestErrorsDump(t *testing.T) {
	var out strings.Builder
	r := New(64, &out)
	at := time.Unix(1000, 0)
	_ = r.HandleLog(newEntry(log.DebugLevel, at, "before"))
	_ = r.HandleLog(newEntry(log.ErrorLevel, at, "first"))
	_ = r.HandleLog(newEntry(log.ErrorLevel, at.Add(dumpInterval), "second"))
	if s := out.String(); !strings.Contains(s, "before") || !strings.Contains(s, "first") || strings.Contains(s, "second") {
		t.Fatalf("after two errors in one dump interval:\n%s", s)
	}
	_ = r.HandleLog(newEntry(log.ErrorLevel, at.Add(2*dumpInterval), "third"))
	if s := out.String(); !strings.Contains(s, "second") || !strings.Contains(s, "third") {
		t.Errorf("after the dump interval:\n%s", s)
	}
}
