package register

import (
	"fmt"
	"testing"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// Each write's outcome is known while the table contains it, as ownership moves between the nodes. Beyond the table's
// limit, a write that was applied gets no definite answer (OutcomeExpired). A write that conflicted is refused as long as
// the table reaches back to the version it is based on.
func TestOutcomesBeyondTheLimit(t *testing.T) {
	c := newTestCluster()
	id := func(n int) string { return fmt.Sprint("request ", n) }
	const extra = 10
	for n := range MaxOutcomes + extra {
		owner := units.NodeID(n/100%3 + 1) // ownership moves every hundred writes
		for by := range c.replicas {
			c.setOwner(by, owner)
		}
		if r := c.submit(owner, Request{ExpectedVersion: units.Version(n), RequestID: id(n)}); r.Code != resultcode.OK || r.Version != units.Version(n)+1 {
			t.Fatalf("write %d: %+v", n, r)
		}
	}
	const last = MaxOutcomes + extra
	for _, lookup := range []bool{false, true} {
		for n := range last {
			r := c.submit(units.NodeID(n%3+1), Request{Lookup: lookup, ExpectedVersion: units.Version(n), RequestID: id(n)})
			if n < extra && r.Code != resultcode.OutcomeExpired || n >= extra && (r.Code != resultcode.OK || r.Version != units.Version(n)+1) {
				t.Fatalf("write %d again, lookup %v: %+v", n, lookup, r)
			}
		}
		c.expectResult(t, "a conflicting write", 2, Request{Lookup: lookup, ExpectedVersion: last - 1, RequestID: "x"}, resultcode.VersionConflict, last)
		c.expectResult(t, "the oldest conflict that is certain", 2, Request{Lookup: lookup, ExpectedVersion: extra, RequestID: "x"}, resultcode.VersionConflict, last)
		c.expectResult(t, "a write that may have been applied", 2, Request{Lookup: lookup, ExpectedVersion: extra - 1, RequestID: "x"}, resultcode.OutcomeExpired, last)
	}
	c.expectResult(t, "the next write", 3, Request{ExpectedVersion: last, RequestID: "y"}, resultcode.OK, last+1)
	if body := c.replicas[1].states["config"].Body; len(body) > MaxOutcomes*fingerprintSize+64 {
		t.Errorf("the body has grown to %d bytes", len(body))
	}
}

// A write without an id has its entry in the table, and is never mistaken for another write.
func TestOutcomesWithoutID(t *testing.T) {
	c := newTestCluster()
	for by := range c.replicas {
		c.setOwner(by, 1)
	}
	c.expectResult(t, "the first write", 1, Request{ExpectedVersion: 0}, resultcode.OK, 1)
	c.expectResult(t, "a write with an id", 2, Request{ExpectedVersion: 1, RequestID: "a"}, resultcode.OK, 2)
	c.expectResult(t, "another write without an id", 1, Request{ExpectedVersion: 0}, resultcode.VersionConflict, 2)
	c.expectResult(t, "a resend with the id", 3, Request{ExpectedVersion: 1, RequestID: "a"}, resultcode.OK, 2)
}

// malformedBodies returns malformed bodies by their defect; all are sent with version 2.
func malformedBodies() map[string][]byte {
	good := packBody(Outcomes{1, 2}, []byte("data"))
	table := func(packed []byte) []byte { return message.Pack(bodyHeader{bodyFormat}, packed, []byte("data")) }
	return map[string][]byte{
		"none":                   nil,
		"truncated":              good[:len(good)-1],
		"too long":               append(append([]byte(nil), good...), 0),
		"another format":         message.Pack(bodyHeader{bodyFormat + 1}, nil, []byte("data")),
		"half a fingerprint":     table(make([]byte, fingerprintSize+1)),
		"more than the versions": packBody(Outcomes{1, 2, 3}, nil),
		"beyond the limit":       table(make([]byte, (MaxOutcomes+1)*fingerprintSize)),
	}
}

// A malformed body is not accepted by a voter, its promise is not counted by an owner, and a replica does not start
// from it. Each case is an error, and never a value without its outcomes.
func TestMalformedBodies(t *testing.T) {
	for name, body := range malformedBodies() {
		c := newTestCluster()
		for by := range c.replicas {
			c.setOwner(by, 1)
		}
		c.expectResult(t, "the first write", 1, Request{ExpectedVersion: 0, RequestID: "a", Data: []byte("one")}, resultcode.OK, 1)
		before := *c.replicas[2].states["config"]
		messageOf := func(kind message.Kind, h header) message.Message {
			h.EpochNumber, h.EpochNode = before.Promised.Number+5, 109
			return message.Message{From: 3, To: 2, Kind: kind, Body: c.replicas[3].pack(h, "config", body)}
		}
		out := c.replicas[2].Step(c.now, messageOf(Accept, header{Seq: 1, Version: 2}))
		if s := c.replicas[2].states["config"]; len(out.Errors) != 1 || len(out.Writes)+len(out.AfterSync) != 0 || fmt.Sprint(*s) != fmt.Sprint(before) {
			t.Errorf("%s: a voter accepts it: %v, %v", name, out, *s)
		}
		o := &ownership{key: "config", phase: preparing, epoch: units.Epoch{Number: before.Promised.Number + 5, Node: 109}, acks: map[units.NodeID]bool{}}
		c.replicas[2].ownerships["config"] = o
		out = c.replicas[2].Step(c.now, messageOf(Promise, header{OK: 1, HigherNumber: before.Promised.Number + 4, Seq: 1, Version: 2}))
		if len(out.Errors) != 1 || len(o.acks) != 0 || o.current.Version != 0 {
			t.Errorf("%s: an owner counts its promise: %v, %+v", name, out, o)
		}
		record := message.Record{Kind: RecordAccept, Key: "config", Data: message.Pack(recordHeader{EpochNumber: 1, Seq: 1, Version: 2}, body)}
		if New(1, 101).Load([]message.Record{record}) == nil {
			t.Errorf("%s: the record is loaded", name)
		}
	}
}

// BenchmarkWrite measures a write of 4 kB with one owner and three voters, by the length of the outcome table,
// without disks and connections: the time, and the bytes that each voter logs.
func BenchmarkWrite(b *testing.B) {
	const number = MaxOutcomes
	for _, length := range []int{0, 16, 256, MaxOutcomes} {
		b.Run(fmt.Sprint(length), func(b *testing.B) {
			c := newTestCluster()
			c.setOwner(1, 1)
			c.submit(1, Request{ExpectedVersion: 0})
			data, outcomes := make([]byte, 4<<10), make(Outcomes, length)
			for i := range outcomes {
				outcomes[i] = fingerprintOf(fmt.Sprint(i))
			}
			best := &c.replicas[1].ownerships["config"].current
			for b.Loop() {
				best.Version, best.Body = number, packBody(outcomes, data)
				if r := c.submit(1, Request{ExpectedVersion: number, RequestID: "next", Data: data}); r.Code != resultcode.OK {
					b.Fatal(r)
				}
			}
			record := c.replicas[1].acceptRecord("config", c.replicas[1].states["config"])
			b.ReportMetric(float64(len(record.Data)), "logged-bytes/op")
		})
	}
}

// Repair copies the outcome table with the value: a voter that lost it knows every write again.
func TestRepairRestoresOutcomes(t *testing.T) {
	c := newTestCluster()
	for by := range c.replicas {
		c.setOwner(by, 1)
	}
	for n := range 20 {
		c.expectResult(t, "a write", 1, Request{ExpectedVersion: units.Version(n), RequestID: fmt.Sprint(n)}, resultcode.OK, units.Version(n)+1)
	}
	c.replicas[3].states["config"] = &State{}
	c.deliver(1, c.replicas[1].Resend(3, "config"))
	if got, want := fmt.Sprint(*c.replicas[3].states["config"]), fmt.Sprint(*c.replicas[1].states["config"]); got != want {
		t.Errorf("after repair: %s, want %s", got, want)
	}
	delete(c.replicas, 2) // node 3 is needed for a majority, and owns the key
	c.setOwner(1, 3)
	c.setOwner(3, 3)
	c.expectResult(t, "the first write again", 1, Request{ExpectedVersion: 0, RequestID: "0"}, resultcode.OK, 1)
}
