// Package gauge lends each worker's slots as permits; every worker has one keeper (design 6).
package gauge

import (
	"time"

	"seamshunt/internal/station"
	"seamshunt/internal/units"
)

// The notes of permits.
const (
	Ask = station.Gauge + iota
	Grant
	No
	Waiting
	Return
	Audit
	ReportAsk
	Report
)

// Head is the fixed part of every permit note. Spans are in milliseconds.
type Head struct {
	Tag    uint64
	Left   uint32 // the prompt's time left; in a No or Waiting, the expected wait
	Lent   uint16
	Cap    uint16
	Wait   uint8 // Ask: may wait; Return: the run may still be going; Waiting, No: list's length, capped
	Reason uint8
	Worth  uint16 // Ask: of the prompt's promise
	Turn   uint16 // milliseconds from one slot's return to the next, as measured
}

// Reasons of a No.
const (
	Busy uint8 = 1 + iota
	Full
	Late
	NotKeeper // in an Ask: the asker has last reported to another node
	Closed
	Silent // never on the wire: the asker's own finding
)

// Pack lays a note out.
func Pack(h Head, worker string) []byte { return station.Pack(h, []byte(worker)) }

// Unpack is the inverse.
func Unpack(b []byte) (Head, string, error) {
	var h Head
	var w []byte
	err := station.Unpack(b, &h, &w)
	return h, string(w), err
}

// Held is one permit in a report.
type Held struct {
	Tag  uint64
	Left uint32
	_    uint32
}

func packReport(worker string, l []Held) []byte {
	items := make([][]byte, len(l))
	for i, x := range l {
		items[i] = station.Pack(x)
	}
	return station.Pack(Head{}, []byte(worker), station.PackList(items))
}

// PackReport lays out what a node holds of a worker.
func PackReport(worker string, l []Held) []byte { return packReport(worker, l) }

// UnpackReport is the inverse; an audit has the same form.
func UnpackReport(b []byte) (string, []Held, error) {
	var h Head
	var w, list []byte
	if err := station.Unpack(b, &h, &w, &list); err != nil {
		return "", nil, err
	}
	items, err := station.UnpackList(list)
	var l []Held
	for _, t := range items {
		var x Held
		if err == nil {
			err = station.Unpack(t, &x)
		}
		l = append(l, x)
	}
	return string(w), l, err
}

// Worker is what a keeper must know of one worker.
type Worker struct {
	Zone   string
	Cap    int
	Bound  int
	Warm   time.Duration
	Start  units.Time // when it began, on this process's clock
	Closed bool       // leaving, or its zone is evacuated: nothing new
	Adapt  bool
	Floor  int
	Aim    time.Duration
	First  time.Duration
}

// Peer is one vane in membership's view.
type Peer struct {
	Node   units.Node
	Zone   string
	Leaves bool // it drains: it holds permits and reports them, and keeps no worker
}

// Keeper gives the vane that keeps a worker: rendezvous order, the worker's zone first.
func Keeper(vanes []Peer, worker, zone string) units.Node {
	var best units.Node
	var top uint64
	own := false
	for _, v := range vanes {
		near := v.Zone == zone
		if v.Leaves {
			continue
		}
		if own && !near {
			continue
		}
		x := units.Mix(worker, v.Node.String())
		if best == 0 || near && !own || x > top {
			best, top, own = v.Node, x, near
		}
	}
	return best
}
