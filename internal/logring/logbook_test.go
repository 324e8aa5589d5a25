package logring

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
)

// entry is a line of a level at a time.
func entry(level log.Level, at time.Time, message string) *log.Entry {
	return &log.Entry{Level: level, Timestamp: at, Message: message, Fields: log.Fields{}}
}

// Warnings are written out as they come, up to a bounded number in each span; the rest waits in memory for a dump.
func TestWarningsAreWrittenAsTheyCome(t *testing.T) {
	var out strings.Builder
	b := New(64, &out)
	began := time.Unix(1000, 0)
	_ = b.HandleLog(entry(log.InfoLevel, began, "quiet"))
	for i := range warningsMost + 5 {
		_ = b.HandleLog(entry(log.WarnLevel, began, fmt.Sprint("warning ", i)))
	}
	if n := strings.Count(out.String(), "\n"); n != warningsMost || strings.Contains(out.String(), "quiet") {
		t.Fatalf("%d lines at once, want %d:\n%s", n, warningsMost, out.String())
	}
	_ = b.HandleLog(entry(log.WarnLevel, began.Add(warningsSpan+1), "later"))
	if !strings.Contains(out.String(), "later") {
		t.Error("the next span writes nothing")
	}
	b.Dump()
	if n := strings.Count(out.String(), "warning "); n != warningsMost+5 || !strings.Contains(out.String(), "quiet") {
		t.Errorf("%d warnings after a dump, want each of %d once", n, warningsMost+5)
	}
}

// A time of day that jumps back does not silence warnings.
func TestWarningsAfterTheTimeJumpsBack(t *testing.T) {
	var out strings.Builder
	b := New(64, &out)
	at := time.Unix(1000, 0)
	for range warningsMost + 1 {
		_ = b.HandleLog(entry(log.WarnLevel, at, "early"))
	}
	_ = b.HandleLog(entry(log.WarnLevel, at.Add(-time.Hour), "jumped"))
	if !strings.Contains(out.String(), "jumped") {
		t.Error("a warning after the jump is kept back")
	}
}

// An error writes out what is in memory, once in each span.
func TestErrorsDump(t *testing.T) {
	var out strings.Builder
	b := New(64, &out)
	at := time.Unix(1000, 0)
	_ = b.HandleLog(entry(log.DebugLevel, at, "before"))
	_ = b.HandleLog(entry(log.ErrorLevel, at, "first"))
	_ = b.HandleLog(entry(log.ErrorLevel, at.Add(dumpGap), "second"))
	if s := out.String(); !strings.Contains(s, "before") || !strings.Contains(s, "first") || strings.Contains(s, "second") {
		t.Fatalf("after two errors in one span:\n%s", s)
	}
	_ = b.HandleLog(entry(log.ErrorLevel, at.Add(2*dumpGap), "third"))
	if s := out.String(); !strings.Contains(s, "second") || !strings.Contains(s, "third") {
		t.Errorf("after the span:\n%s", s)
	}
}
