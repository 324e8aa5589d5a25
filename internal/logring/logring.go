// Package logring writes warnings immediately, up to a limited rate, and keeps the most recent other lines in memory
// until an error is logged (docs/design.md, section 1).
package logring

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/apex/log"
)

// At most maxWarnings are written immediately in each warningWindow, so that a burst of warnings doesn't take up the
// process's time. The rest stays in memory.
const (
	maxWarnings   = 20
	warningWindow = 5 * time.Second
)

// dumpInterval is the minimum time between two dumps caused by errors; errors in between stay in memory.
const dumpInterval = 5 * time.Second

// Ring is a ring buffer of log lines and a handler for apex/log.
type Ring struct {
	mu       sync.Mutex
	lines    []string
	next     int
	out      io.Writer
	lastDump time.Time // last dump caused by an error

	windowStart     time.Time // start of the current warning window
	writtenInWindow int       // warnings in that window
}

// New returns a ring of n lines that writes to out.
func New(n int, out io.Writer) *Ring { return &Ring{lines: make([]string, n), out: out} }

// HandleLog writes a warning or adds the line to the ring. A line of level error or above also dumps the ring, at most
// once per dumpInterval.
func (r *Ring) HandleLog(e *log.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%s %-5s %s %v", e.Timestamp.UTC().Format("15:04:05.000"), e.Level, e.Message, e.Fields)
	if e.Level == log.WarnLevel && r.allowWarning(e.Timestamp) {
		fmt.Fprintln(r.out, line)
		return nil
	}
	r.lines[r.next%len(r.lines)] = line
	r.next++
	if e.Level >= log.ErrorLevel && e.Timestamp.Sub(r.lastDump) > dumpInterval {
		r.lastDump = e.Timestamp
		r.dump()
	}
	return nil
}

// allowWarning counts a warning and reports whether it may be written in the current window. A wall clock that jumps
// back only makes a window longer or shorter.
func (r *Ring) allowWarning(now time.Time) bool {
	if age := now.Sub(r.windowStart); age < 0 || age > warningWindow {
		r.windowStart, r.writtenInWindow = now, 0
	}
	r.writtenInWindow++
	return r.writtenInWindow <= maxWarnings
}

// Dump writes out all lines in the ring and empties it.
func (r *Ring) Dump() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dump()
}

func (r *Ring) dump() {
	for i := range r.lines {
		if l := r.lines[(r.next+i)%len(r.lines)]; l != "" {
			fmt.Fprintln(r.out, l)
		}
	}
	clear(r.lines)
}
