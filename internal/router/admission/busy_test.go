package admission

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/router/capacity"
	"seamshunt/internal/units"
)

// While every request is admitted and none waits, Tick has nothing to do and Busy reports false.
func TestBusy(t *testing.T) {
	const ms = time.Millisecond
	h, now := New(1), units.Time(time.Hour)
	h.Submit(now, Request{Tag: 7, Policy: "knee", Candidates: []string{"s/w"}, MaxCandidates: 1, Deadline: now.Add(time.Second),
		FirstTokenTime: 50 * ms, Coordinator: func(string) units.NodeID { return 2 }})
	if !h.Busy() {
		t.Error("not busy while an acquire request is pending")
	}
	h.Step(now, message.Message{From: 2, Kind: capacity.Grant, Body: capacity.Pack(capacity.Header{Tag: 7}, "s/w")})
	if h.Busy() {
		t.Error("busy although the request was admitted")
	}
	if out := h.Tick(now.Add(time.Hour)); len(out.Messages)+len(h.Decisions) != 1 {
		t.Errorf("a tick with all requests admitted sent %v, decided %v", out.Messages, h.Decisions)
	}
	h.Done(now, 7, true)
	if !h.Busy() {
		t.Error("not busy although a run may still be in progress")
	}
}
