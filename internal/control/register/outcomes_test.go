package register

import (
	"fmt"
	"testing"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// Every change is known while the table holds it, at each owner in turn. Past the bound a change that was taken is left
// without a clear answer; one that lost its race is refused as long as the table reaches back to what it builds on.
func TestOutcomesPastTheBound(t *testing.T) {
	c := newCluster()
	id := func(n int) string { return fmt.Sprint("request ", n) }
	const more = 10
	for n := range MaxOutcomes + more {
		at := units.NodeID(n/100%3 + 1) // the owner moves every hundred changes
		for by := range c.replicas {
			c.believe(by, at)
		}
		if r := c.ask(at, Request{ExpectedVersion: units.Version(n), RequestID: id(n)}); r.Code != resultcode.OK || r.Version != units.Version(n)+1 {
			t.Fatalf("change %d: %+v", n, r)
		}
	}
	const last = MaxOutcomes + more
	for _, lookup := range []bool{false, true} {
		for n := range last {
			r := c.ask(units.NodeID(n%3+1), Request{Lookup: lookup, ExpectedVersion: units.Version(n), RequestID: id(n)})
			if n < more && r.Code != resultcode.OutcomeExpired || n >= more && (r.Code != resultcode.OK || r.Version != units.Version(n)+1) {
				t.Fatalf("change %d again, lookup %v: %+v", n, lookup, r)
			}
		}
		c.want(t, "a loser", 2, Request{Lookup: lookup, ExpectedVersion: last - 1, RequestID: "x"}, resultcode.VersionConflict, last)
		c.want(t, "the oldest loser that is known", 2, Request{Lookup: lookup, ExpectedVersion: more, RequestID: "x"}, resultcode.VersionConflict, last)
		c.want(t, "one that may have been taken", 2, Request{Lookup: lookup, ExpectedVersion: more - 1, RequestID: "x"}, resultcode.OutcomeExpired, last)
	}
	c.want(t, "the next", 3, Request{ExpectedVersion: last, RequestID: "y"}, resultcode.OK, last+1)
	if body := c.replicas[1].states["config"].Body; len(body) > MaxOutcomes*fingerprintSize+64 {
		t.Errorf("the body has grown to %d bytes", len(body))
	}
}

// A write without an id takes its place in the table, and is never taken for another one.
func TestOutcomesWithoutID(t *testing.T) {
	c := newCluster()
	for by := range c.replicas {
		c.believe(by, 1)
	}
	c.want(t, "the first", 1, Request{ExpectedVersion: 0}, resultcode.OK, 1)
	c.want(t, "with an id", 2, Request{ExpectedVersion: 1, RequestID: "a"}, resultcode.OK, 2)
	c.want(t, "another without", 1, Request{ExpectedVersion: 0}, resultcode.VersionConflict, 2)
	c.want(t, "known", 3, Request{ExpectedVersion: 1, RequestID: "a"}, resultcode.OK, 2)
}

// malformed bodies, by what is wrong with them; all are sent under number 2.
func malformed() map[string][]byte {
	good := packBody(Outcomes{1, 2}, []byte("data"))
	table := func(packed []byte) []byte { return message.Pack(bodyHead{bodyFormat}, packed, []byte("data")) }
	return map[string][]byte{
		"none":                  nil,
		"cut short":             good[:len(good)-1],
		"too long":              append(append([]byte(nil), good...), 0),
		"another format":        message.Pack(bodyHead{bodyFormat + 1}, nil, []byte("data")),
		"half a fingerprint":    table(make([]byte, fingerprintSize+1)),
		"more than the numbers": packBody(Outcomes{1, 2, 3}, nil),
		"past the bound":        table(make([]byte, (MaxOutcomes+1)*fingerprintSize)),
	}
}

// A malformed body changes nothing at a voter, counts for nothing at an owner, and stops a start: each is an error, and
// never a value without its outcomes.
func TestMalformedBodies(t *testing.T) {
	for name, body := range malformed() {
		c := newCluster()
		for by := range c.replicas {
			c.believe(by, 1)
		}
		c.want(t, "the first", 1, Request{ExpectedVersion: 0, RequestID: "a", Data: []byte("one")}, resultcode.OK, 1)
		before := *c.replicas[2].states["config"]
		note := func(k message.Kind, h head) message.Message {
			h.N, h.By = before.Promised.Number+5, 109
			return message.Message{From: 3, To: 2, Kind: k, Body: c.replicas[3].pack(h, "config", body)}
		}
		out := c.replicas[2].Step(c.now, note(Accept, head{Seq: 1, Num: 2}))
		if s := c.replicas[2].states["config"]; len(out.Errors) != 1 || len(out.Writes)+len(out.AfterSync) != 0 || fmt.Sprint(*s) != fmt.Sprint(before) {
			t.Errorf("%s: a voter takes it: %v, %v", name, out, *s)
		}
		o := &ownership{key: "config", phase: preparing, epoch: units.Epoch{Number: before.Promised.Number + 5, Node: 109}, got: map[units.NodeID]bool{}}
		c.replicas[2].owned["config"] = o
		out = c.replicas[2].Step(c.now, note(Promise, head{Ok: 1, HN: before.Promised.Number + 4, Seq: 1, Num: 2}))
		if len(out.Errors) != 1 || len(o.got) != 0 || o.best.Version != 0 {
			t.Errorf("%s: an owner counts it: %v, %+v", name, out, o)
		}
		record := message.Record{Kind: RecordAccept, Key: "config", Data: message.Pack(slotHead{N: 1, Seq: 1, Num: 2}, body)}
		if New(1, 101).Load([]message.Record{record}) == nil {
			t.Errorf("%s: it is loaded", name)
		}
	}
}

// BenchmarkWrite measures a change of 4 kB at an owner and three voters, by the table's length, without disks and wires:
// the time, and the bytes that each voter logs.
func BenchmarkWrite(b *testing.B) {
	const number = MaxOutcomes
	for _, length := range []int{0, 16, 256, MaxOutcomes} {
		b.Run(fmt.Sprint(length), func(b *testing.B) {
			c := newCluster()
			c.believe(1, 1)
			c.ask(1, Request{ExpectedVersion: 0})
			data, outcomes := make([]byte, 4<<10), make(Outcomes, length)
			for i := range outcomes {
				outcomes[i] = fingerprintOf(fmt.Sprint(i))
			}
			best := &c.replicas[1].owned["config"].best
			for b.Loop() {
				best.Version, best.Body = number, packBody(outcomes, data)
				if r := c.ask(1, Request{ExpectedVersion: number, RequestID: "next", Data: data}); r.Code != resultcode.OK {
					b.Fatal(r)
				}
			}
			record := c.replicas[1].saveAccept("config", c.replicas[1].states["config"])
			b.ReportMetric(float64(len(record.Data)), "logged-bytes/op")
		})
	}
}

// Repair hands the outcome table on with the value: a voter that lost it knows every change again.
func TestRepairBearsOutcomes(t *testing.T) {
	c := newCluster()
	for by := range c.replicas {
		c.believe(by, 1)
	}
	for n := range 20 {
		c.want(t, "a change", 1, Request{ExpectedVersion: units.Version(n), RequestID: fmt.Sprint(n)}, resultcode.OK, units.Version(n)+1)
	}
	c.replicas[3].states["config"] = &State{}
	c.deliver(1, c.replicas[1].Resend(3, "config"))
	if got, want := fmt.Sprint(*c.replicas[3].states["config"]), fmt.Sprint(*c.replicas[1].states["config"]); got != want {
		t.Errorf("after the repair %s, want %s", got, want)
	}
	delete(c.replicas, 2) // 3 is needed for a majority, and owns the key
	c.believe(1, 3)
	c.believe(3, 3)
	c.want(t, "the first again", 1, Request{ExpectedVersion: 0, RequestID: "0"}, resultcode.OK, 1)
}
