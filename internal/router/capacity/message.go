// Package capacity grants each worker's slots as permits. Every worker has one coordinator, the router that counts its
// permits (docs/design.md, section 6).
package capacity

import (
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/units"
)

// Kinds of permit messages.
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

// Header is the fixed part of every permit message. Times are in milliseconds unless stated otherwise.
type Header struct {
	Tag               uint64
	TimeLeft          uint32 // time until the request's deadline; in Refusal and Queued, the expected wait
	InUse             uint16 // replies: permits in use; Report: requests sent to the worker in the last second
	Capacity          uint16 // replies: permits that may be in use
	Wait              uint8  // Acquire: 1: it may wait; Release: 1: the run may go on; replies: waitlist length, at most 255
	Reason            uint8
	Worth             uint16 // Acquire: worth of the request's service promise
	ReleaseInterval   uint16 // measured mean time between two releases
	PrefillTime       uint32 // in microseconds. Acquire: of the prompt; replies: of the backlog; Release: time to first token
	MemoryTokens      uint32 // Acquire: tokens of memory that the run needs
	MaxFirstTokenTime uint32 // Acquire that may not wait: a worker with a longer time to first token doesn't count as free
	Priority          uint8  // Acquire: the request's priority at the worker, 0 the highest
}

// Reasons of a Refusal.
const (
	ReasonBusy uint8 = 1 + iota
	ReasonQueueFull
	ReasonTooLate
	ReasonNotCoordinator // in an Acquire: the sender last reported to another coordinator
	ReasonClosed
	ReasonNoReply // never sent: set by the requesting router itself
)

// Pack encodes a permit message.
func Pack(h Header, worker string) []byte { return message.Pack(h, []byte(worker)) }

// Unpack is the inverse of Pack.
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

// PackReport encodes the permits that a router holds for a worker, and how many requests it sent there in the
// last second.
func PackReport(worker string, permits []HeldPermit, sent int) []byte {
	items := make([][]byte, len(permits))
	for i, permit := range permits {
		items[i] = message.Pack(permit)
	}
	return message.Pack(Header{InUse: uint16(min(sent, 65535))}, []byte(worker), message.PackList(items))
}

// UnpackReport is the inverse of PackReport. An Audit has the same form.
func UnpackReport(b []byte) (string, []HeldPermit, int, error) {
	var h Header
	var w, list []byte
	if err := message.Unpack(b, &h, &w, &list); err != nil {
		return "", nil, 0, err
	}
	items, err := message.UnpackList(list)
	var permits []HeldPermit
	for _, t := range items {
		var permit HeldPermit
		if err == nil {
			err = message.Unpack(t, &permit)
		}
		permits = append(permits, permit)
	}
	return string(w), permits, int(h.InUse), err
}

// Worker is what a coordinator needs to know about one worker.
type Worker struct {
	Zone           string
	Capacity       int           // permits when warmed up
	MaxWaiting     int           // bound of the waitlist
	WarmUp         time.Duration // duration of the warm-up
	StartedAt      units.Time    // on this process's clock
	Closed         bool          // draining, or its zone is evacuated: no new permits
	Adaptive       bool          // adapt the capacity to the waiting time
	MinCapacity    int           // lower bound of the adaptive capacity
	TargetWait     time.Duration // mean wait above which the adaptive capacity shrinks
	FirstTokenTime time.Duration // time to first token; a request needs at least this much time until its deadline

	Memory         int        // tokens that granted permits may need; 0 (unlimited) for a worker that isn't an inference engine
	WarmUpRate     float64    // requests per second that it can take while warming up; 0 if unlimited
	WarmingUpUntil units.Time // end of the known warm-up
	QuickTakeover  bool       // a new coordinator doesn't wait for permits that unreachable routers may hold
}

// Peer is one live router according to the membership.
type Peer struct {
	Node     units.NodeID
	Zone     string
	Draining bool // it holds and reports permits, but coordinates no worker
}

// Coordinator returns the router that coordinates a worker, by rendezvous hashing; routers in the worker's zone come first.
func Coordinator(routers []Peer, worker, zone string) units.NodeID {
	var best units.NodeID
	var bestRank uint64
	bestInZone := false
	for _, router := range routers {
		inZone := router.Zone == zone
		if router.Draining {
			continue
		}
		if bestInZone && !inZone {
			continue
		}
		rank := units.Mix(worker, router.Node.String())
		if best == 0 || inZone && !bestInZone || rank > bestRank {
			best, bestRank, bestInZone = router.Node, rank, inZone
		}
	}
	return best
}
