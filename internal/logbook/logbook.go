// Package logbook keeps the last lines in memory and writes them out when something goes wrong (design 1).
package logbook

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/apex/log"
)

// Book is a ring of lines; it is a handler for apex/log.
type Book struct {
	mu   sync.Mutex
	ring []string
	at   int
	out  io.Writer
	last time.Time
}

// New gives a ring of n lines that dumps to out.
func New(n int, out io.Writer) *Book { return &Book{ring: make([]string, n), out: out} }

// HandleLog takes a line into the ring; an error or worse dumps the ring, at most once in five seconds.
func (b *Book) HandleLog(e *log.Entry) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ring[b.at%len(b.ring)] = fmt.Sprintf("%s %-5s %s %v", e.Timestamp.UTC().Format("15:04:05.000"), e.Level, e.Message, e.Fields)
	b.at++
	if e.Level >= log.ErrorLevel && e.Timestamp.Sub(b.last) > 5*time.Second {
		b.last = e.Timestamp
		b.dump()
	}
	return nil
}

// Dump writes the ring out and empties it.
func (b *Book) Dump() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dump()
}

func (b *Book) dump() {
	for i := range b.ring {
		if l := b.ring[(b.at+i)%len(b.ring)]; l != "" {
			fmt.Fprintln(b.out, l)
		}
	}
	clear(b.ring)
}
