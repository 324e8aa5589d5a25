// Package standin holds the stand-ins for what is outside: model workers, the platform and callers.
package standin

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// Entry is one line of a journal; the observer judges a run by them alone.
type Entry struct {
	Kind         string  `json:"kind"` // start, end, turn, call, event
	At           int64   `json:"at"`   // microseconds of the wall clock, one machine's for all
	Job          string  `json:"job,omitempty"`
	Worker       string  `json:"worker,omitempty"`
	Pool         string  `json:"pool,omitempty"`
	Zone         string  `json:"zone,omitempty"`
	ID           string  `json:"id,omitempty"`
	How          string  `json:"how,omitempty"` // end: done or cut; event: what was done
	CacheHit     float64 `json:"hit,omitempty"` // share of the prompt found in the prefix cache
	InFlight     int     `json:"flight,omitempty"`
	Mapping      string  `json:"mapping,omitempty"`
	Router       string  `json:"router,omitempty"`
	End          int64   `json:"end,omitempty"`
	FirstUs      int64   `json:"first_us,omitempty"`
	TimeLeftMs   int     `json:"left_ms,omitempty"`
	Status       int     `json:"status,omitempty"`
	Code         int     `json:"code,omitempty"`
	NotRun       bool    `json:"not_run,omitempty"`
	RetryAfterMs int     `json:"back_ms,omitempty"`
	Complete     bool    `json:"whole,omitempty"` // ended properly, as HTTP has it
	Fault        string  `json:"fault,omitempty"` // what the caller found wrong in an answer that ended properly
	Pieces       int     `json:"pieces,omitempty"`
	Target       string  `json:"target,omitempty"`
	Bytes        int     `json:"bytes,omitempty"`
	Fingerprint  string  `json:"sum,omitempty"`   // of method, path and body: as sent, as arrived
	OrderFault   string  `json:"order,omitempty"` // what is wrong in the order of a stream's pieces, whole or not
	WarmingUp    bool    `json:"cold,omitempty"`
	ArrivedAt    int64   `json:"came,omitempty"` // when the request had arrived at the worker
}

// FaultClientDisconnected is the fault of a call whose caller left before its end.
const FaultClientDisconnected = "the caller left"

// Journal is a file of entries.
type Journal struct {
	mu sync.Mutex
	f  *os.File
}

// OpenJournal makes or continues a journal.
func OpenJournal(path string) (*Journal, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	return &Journal{f: f}, nil
}

// Now is the journal's time.
func Now() int64 { return time.Now().UnixMicro() }

// Write adds an entry at once; a killed process loses none that it wrote.
func (j *Journal) Write(e Entry) {
	b, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, err := j.f.Write(append(b, '\n')); err != nil {
		fmt.Fprintln(os.Stderr, "journal:", err)
	}
}

// Close closes the file.
func (j *Journal) Close() { j.f.Close() }
