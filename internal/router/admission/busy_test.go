package admission

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/router/capacity"
	"seamshunt/internal/units"
)

// While every prompt is in and none waits, a tick has nothing to do: then it says so.
func TestBusy(t *testing.T) {
	const ms = time.Millisecond
	h, now := New(1), units.Time(time.Hour)
	h.Submit(now, Request{Tag: 7, Policy: "knee", Candidates: []string{"s/w"}, MaxCandidates: 1, Deadline: now.Add(time.Second), FirstTokenTime: 50 * ms,
		Coordinator: func(string) units.NodeID { return 2 }})
	if !h.Busy() {
		t.Error("an ask is under way")
	}
	h.Step(now, message.Message{From: 2, Kind: capacity.Grant, Body: capacity.Pack(capacity.Header{Tag: 7}, "s/w")})
	if h.Busy() {
		t.Error("the prompt is in")
	}
	if out := h.Tick(now.Add(time.Hour)); len(out.Messages)+len(h.Decisions) != 1 {
		t.Errorf("a tick with all prompts in said %v, %v", out.Messages, h.Decisions)
	}
	h.Done(now, 7, true)
	if !h.Busy() {
		t.Error("a run that may still be going is waited out")
	}
}
