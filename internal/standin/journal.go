// Package standin holds stand-ins for the systems around the fleet: model workers, the platform and clients.
package standin

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// Entry is one line of a journal. The checker uses only these entries to check a run.
type Entry struct {
	Kind         string  `json:"kind"` // start, end, turn, call, event
	At           int64   `json:"at"`   // wall clock in microseconds; all processes share one machine's clock
	Job          string  `json:"job,omitempty"`
	Worker       string  `json:"worker,omitempty"`
	Pool         string  `json:"pool,omitempty"`
	Zone         string  `json:"zone,omitempty"`
	ID           string  `json:"id,omitempty"`
	How          string  `json:"how,omitempty"` // end: done, cut (closed early) or dark (hung until the deadline); event: what was done
	CacheHit     float64 `json:"hit,omitempty"` // fraction of the prompt found in the prefix cache
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
	Complete     bool    `json:"whole,omitempty"` // the answer ended as HTTP requires
	Fault        string  `json:"fault,omitempty"` // what the client found wrong in an answer that ended as HTTP requires
	Pieces       int     `json:"pieces,omitempty"`
	Target       string  `json:"target,omitempty"`
	Bytes        int     `json:"bytes,omitempty"`
	Fingerprint  string  `json:"sum,omitempty"`   // of method, path and body: as sent or as received
	OrderFault   string  `json:"order,omitempty"` // what is wrong in the order of a stream's pieces, complete or not
	WarmingUp    bool    `json:"cold,omitempty"`
	ArrivedAt    int64   `json:"came,omitempty"` // when the worker had received the request
}

// FaultClientDisconnected is the fault of a call whose client disconnected before its end.
const FaultClientDisconnected = "the caller left"

// Journal is a file of entries, one JSON object per line.
type Journal struct {
	mu   sync.Mutex
	file *os.File
}

// OpenJournal creates a journal, or opens it to append to it.
func OpenJournal(path string) (*Journal, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	return &Journal{file: file}, nil
}

// Now returns the current time in the unit of Entry.At.
func Now() int64 { return time.Now().UnixMicro() }

// Write appends an entry without buffering, so that a killed process loses none that it wrote.
func (j *Journal) Write(e Entry) {
	b, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, err := j.file.Write(append(b, '\n')); err != nil {
		fmt.Fprintln(os.Stderr, "journal:", err)
	}
}

// Close closes the file.
func (j *Journal) Close() { j.file.Close() }
