// Package logring writes warnings out as they come, up to a bounded rate, and keeps the last other lines in memory until
// something goes wrong (design 1).
package logring

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/apex/log"
)

// How many warnings are written out at once: a storm of them must not cost the process its time. The rest stays in memory.
const (
	warningsMost = 20
	warningsSpan = 5 * time.Second
)

// dumpGap is how long after one dump the next error waits in memory.
const dumpGap = 5 * time.Second

// Ring is a ring of lines; it is a handler for apex/log.
type Ring struct {
	mu   sync.Mutex
	ring []string
	at   int
	out  io.Writer
	last time.Time // of the last dump by an error

	spanBegan time.Time // of warnings written out as they came
	written   int       // warnings in that span
}

// New gives a ring of n lines that dumps to out.
func New(n int, out io.Writer) *Ring { return &Ring{ring: make([]string, n), out: out} }

// HandleLog writes a warning out or takes a line into the ring; an error or worse dumps the ring, at most once in dumpGap.
func (b *Ring) HandleLog(e *log.Entry) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := fmt.Sprintf("%s %-5s %s %v", e.Timestamp.UTC().Format("15:04:05.000"), e.Level, e.Message, e.Fields)
	if e.Level == log.WarnLevel && b.mayWrite(e.Timestamp) {
		fmt.Fprintln(b.out, line)
		return nil
	}
	b.ring[b.at%len(b.ring)] = line
	b.at++
	if e.Level >= log.ErrorLevel && e.Timestamp.Sub(b.last) > dumpGap {
		b.last = e.Timestamp
		b.dump()
	}
	return nil
}

// mayWrite says whether one more warning may be written out in this span, and counts it. A time of day that jumps back
// only makes a span longer or shorter.
func (b *Ring) mayWrite(now time.Time) bool {
	if age := now.Sub(b.spanBegan); age < 0 || age > warningsSpan {
		b.spanBegan, b.written = now, 0
	}
	b.written++
	return b.written <= warningsMost
}

// Dump writes the ring out and empties it.
func (b *Ring) Dump() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dump()
}

func (b *Ring) dump() {
	for i := range b.ring {
		if l := b.ring[(b.at+i)%len(b.ring)]; l != "" {
			fmt.Fprintln(b.out, l)
		}
	}
	clear(b.ring)
}
