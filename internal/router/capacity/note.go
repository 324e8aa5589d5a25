// Package capacity lends each worker's slots as permits; every worker has one keeper (design 6).
package capacity

import (
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// The notes of permits.
const (
	Acquire = message.KindCapacity + iota
	Grant
	Refusal
	Queued
	Release
	Audit
	ReportRequest
	Report
)

// Header is the fixed part of every permit note. Spans are in milliseconds.
type Header struct {
	Tag               uint64
	TimeLeft          uint32 // the prompt's time left; in a No or Waiting, the expected wait
	InUse             uint16
	Capacity          uint16
	Wait              uint8 // Ask: may wait; Return: the run may still be going; Waiting, No: list's length, capped
	Reason            uint8
	Worth             uint16 // Ask: of the prompt's promise
	ReleaseInterval   uint16 // milliseconds from one slot's return to the next, as measured
	PrefillTime       uint32 // microseconds. Ask: that reading the prompt takes; answers: that all unread takes; Return: till first words
	MemoryTokens      uint32 // Ask: tokens of memory that the run needs
	MaxFirstTokenTime uint32 // Ask, not waiting: a worker whose first words would come later than so many milliseconds is no free one
	Priority          uint8  // Ask: the prompt's urgency at the worker, 0 the most urgent
}

// Reasons of a No.
const (
	ReasonBusy uint8 = 1 + iota
	ReasonQueueFull
	ReasonTooLate
	ReasonNotCoordinator // in an Ask: the asker has last reported to another node
	ReasonClosed
	ReasonNoReply // never on the wire: the asker's own finding
)

// Pack lays a note out.
func Pack(h Header, worker string) []byte { return message.Pack(h, []byte(worker)) }

// Unpack is the inverse.
func Unpack(b []byte) (Header, string, error) {
	var h Header
	var w []byte
	err := message.Unpack(b, &h, &w)
	return h, string(w), err
}

// HeldPermit is one permit in a report.
type HeldPermit struct {
	Tag          uint64
	TimeLeft     uint32
	MemoryTokens uint32
}

// PackReport lays out what a node holds of a worker, and how much it sent there in the last second.
func PackReport(worker string, l []HeldPermit, sent int) []byte {
	items := make([][]byte, len(l))
	for i, x := range l {
		items[i] = message.Pack(x)
	}
	return message.Pack(Header{InUse: uint16(min(sent, 65535))}, []byte(worker), message.PackList(items))
}

// UnpackReport is the inverse; an audit has the same form.
func UnpackReport(b []byte) (string, []HeldPermit, int, error) {
	var h Header
	var w, list []byte
	if err := message.Unpack(b, &h, &w, &list); err != nil {
		return "", nil, 0, err
	}
	items, err := message.UnpackList(list)
	var l []HeldPermit
	for _, t := range items {
		var x HeldPermit
		if err == nil {
			err = message.Unpack(t, &x)
		}
		l = append(l, x)
	}
	return string(w), l, int(h.InUse), err
}

// Worker is what a keeper must know of one worker.
type Worker struct {
	Zone           string
	Capacity       int
	MaxWaiting     int
	WarmUp         time.Duration
	StartedAt      units.Time // when it began, on this process's clock
	Closed         bool       // leaving, or its zone is evacuated: nothing new
	Adaptive       bool
	MinCapacity    int
	TargetWait     time.Duration
	FirstTokenTime time.Duration

	Memory         int        // tokens that may be lent out; 0 for a worker that is no engine
	WarmUpRate     float64    // requests a second that it bears while cold; 0 when any
	WarmingUpUntil units.Time // till when it is known to be cold
	QuickTakeover  bool       // a new keeper lends without waiting out what silent nodes may hold
}

// Peer is one router in membership's view.
type Peer struct {
	Node     units.NodeID
	Zone     string
	Draining bool // it drains: it holds permits and reports them, and keeps no worker
}

// Coordinator gives the router that keeps a worker: rendezvous order, the worker's zone first.
func Coordinator(routers []Peer, worker, zone string) units.NodeID {
	var best units.NodeID
	var top uint64
	own := false
	for _, v := range routers {
		near := v.Zone == zone
		if v.Draining {
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
