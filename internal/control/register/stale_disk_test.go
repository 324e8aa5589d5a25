package register

import (
	"fmt"
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// A trio is three members whose messages arrive at once, and whose disks keep what they sync.
type trio struct {
	now      units.Time
	replicas map[units.NodeID]*Replica
	disks    map[units.NodeID]map[string]message.Record
	cut      map[units.NodeID]bool
	sent     []message.Message
	tag      uint64
}

func newTrio() *trio {
	g := &trio{now: units.Time(time.Second), replicas: map[units.NodeID]*Replica{}, disks: map[units.NodeID]map[string]message.Record{}, cut: map[units.NodeID]bool{}}
	set := QuorumSet{Version: 1, Members: []units.NodeID{1, 2, 3}}
	for id := units.NodeID(1); id <= 3; id++ {
		g.disks[id] = map[string]message.Record{"set": {Kind: RecordQuorum, Data: set.Pack()}}
		g.restart(id, 100+id)
	}
	return g
}

// restart begins anew from what the disk holds; run names the start.
func (g *trio) restart(id, run units.NodeID) {
	r := New(id, run)
	var records []message.Record
	for _, key := range message.SortedKeys(g.disks[id]) {
		records = append(records, g.disks[id][key])
	}
	if err := r.Load(records); err != nil {
		panic(err)
	}
	g.replicas[id] = r
}

func (g *trio) deliver(from units.NodeID, out message.Effects) {
	for _, w := range out.Writes {
		g.disks[from][fmt.Sprint(w.Kind, w.Key)] = w
	}
	for _, n := range append(out.Messages, out.AfterSync...) {
		n.From = from
		g.sent = append(g.sent, n)
		if g.replicas[n.To] != nil && (n.To == from || !g.cut[n.To] && !g.cut[from]) {
			g.deliver(n.To, g.replicas[n.To].Step(g.now, n))
		}
	}
}

// believe has everyone take one node for the only one that may own keys.
func (g *trio) believe(owner units.NodeID) {
	for _, r := range g.replicas {
		r.SetEligible([]units.NodeID{owner})
	}
}

func (g *trio) ticks(id units.NodeID, rounds int) {
	for range rounds {
		g.now = g.now.Add(400 * time.Millisecond)
		g.deliver(id, g.replicas[id].Tick(g.now))
	}
}

// ask gives the result of a call, if one comes.
func (g *trio) ask(at units.NodeID, a Request) (Result, bool) {
	g.tag++
	a.Tag, a.Key = g.tag, "config"
	g.deliver(at, g.replicas[at].Submit(g.now, a))
	for range 8 {
		for _, r := range g.replicas[at].Results {
			if r.Tag == a.Tag {
				return r, true
			}
		}
		g.ticks(at, 1)
	}
	return Result{}, false
}

func (g *trio) write(t *testing.T, at units.NodeID, n int) {
	t.Helper()
	r, ok := g.ask(at, Request{Write: true, ExpectedVersion: units.Version(n - 1), RequestID: fmt.Sprint("plan", n), Data: fmt.Append(nil, "value ", n)})
	if !ok || r.Code != resultcode.OK || r.Version != units.Version(n) {
		t.Fatalf("change %d: %+v", n, r)
	}
}

// stale is a trio after a thousand changes, of which member 1 saw the first ten; it was just restarted and everyone takes
// it for the owner.
func stale(t *testing.T) *trio {
	t.Helper()
	g := newTrio()
	g.believe(1)
	for n := 1; n <= 10; n++ {
		g.write(t, 1, n)
	}
	g.cut[1] = true
	g.believe(2)
	for n := 11; n <= 1000; n++ {
		g.write(t, 2, n)
	}
	g.restart(1, 201)
	g.believe(1)
	if n := g.replicas[1].StoredVersions()["config"]; n != 10 {
		t.Fatalf("the stale disk holds number %d", n)
	}
	g.sent = nil
	return g
}

// Without a majority a restarted owner answers nothing and passes nothing on from its disk, however often it is asked.
func TestStaleOwnerAloneAnswersNothing(t *testing.T) {
	g := stale(t)
	for _, a := range []Request{{}, {Write: true, ExpectedVersion: 10, RequestID: "x", Data: []byte("x")}, {Write: true, ExpectedVersion: 1000, RequestID: "y", Data: []byte("y")}} {
		if r, ok := g.ask(1, a); ok {
			t.Errorf("from its disk alone it answers %+v with %+v", a, r)
		}
	}
	if n := len(g.replicas[1].Chosen); n > 0 {
		t.Errorf("it pushes %d values", n)
	}
	for _, n := range g.sent {
		if n.Kind == Accept || n.Kind == Confirm || n.Kind == Reply {
			t.Errorf("before a majority promised, it sends kind %d to %d", n.Kind, n.To)
		}
	}
}

// With one other member in reach it prepares first, takes over the newest value, and only then answers: reads by number
// 1000, changes on number 10 by a conflict, changes on number 1000 by taking them.
func TestStaleOwnerPreparesFirst(t *testing.T) {
	for _, a := range []struct {
		Request
		want Result
	}{
		{Request{}, Result{Code: resultcode.OK, Version: 1000, Data: []byte("value 1000")}},
		{Request{Write: true, ExpectedVersion: 10, RequestID: "x", Data: []byte("x")}, Result{Code: resultcode.VersionConflict, Version: 1000}},
		{Request{Write: true, ExpectedVersion: 1000, RequestID: "y", Data: []byte("y")}, Result{Code: resultcode.OK, Version: 1001}},
	} {
		g := stale(t)
		g.cut = map[units.NodeID]bool{3: true}
		r, ok := g.ask(1, a.Request)
		if !ok || r.Code != a.want.Code || r.Version != a.want.Version || string(r.Data) != string(a.want.Data) {
			t.Errorf("%+v is answered %+v", a.Request, r)
		}
		promised := map[units.NodeID]bool{}
		for _, n := range g.sent {
			switch n.Kind {
			case Promise:
				promised[n.From] = true
			case Accept, Reply:
				if len(promised) < 2 {
					t.Fatalf("kind %d is sent with promises of %v only", n.Kind, promised)
				}
			}
		}
	}
}

// Two starts from one disk never use one epoch.
func TestRestartsShareNoEpoch(t *testing.T) {
	epochs := map[string]bool{}
	for run := units.NodeID(201); run < 211; run++ {
		g := newTrio()
		g.believe(1)
		g.write(t, 1, 1)
		g.cut[1] = true
		g.restart(1, run)
		g.believe(1)
		g.sent = nil
		g.ticks(1, 2)
		for _, n := range g.sent {
			var h head
			if n.Kind != Prepare || n.To != 2 {
				continue
			}
			if err := message.Unpack(n.Body, &h, new([]byte), new([]byte), new([]byte)); err != nil {
				t.Fatal(err)
			}
			if h.By != uint64(run) {
				t.Errorf("the epoch of run %v names %x", run, h.By)
			}
			epochs[fmt.Sprint(h.N, h.By)] = true
		}
	}
	if len(epochs) < 10 {
		t.Errorf("10 starts used only %d epochs", len(epochs))
	}
}

// A member that promised more while it was cut off refuses its owner after a majority has answered already: the owner
// takes the key anew, so that the member takes its copy.
func TestLateRefusalIsHeard(t *testing.T) {
	g := newTrio()
	g.believe(1)
	g.write(t, 1, 1)
	g.cut[3] = true
	g.write(t, 1, 2)
	g.replicas[3].state("config").Promised = units.Epoch{Number: 1 << 20, Node: 9}
	g.cut[3] = false
	g.deliver(1, g.replicas[1].Resend(3, "config"))
	g.ticks(1, 2)
	if n := g.replicas[3].StoredVersions()["config"]; n != 2 {
		t.Errorf("the member still holds number %d", n)
	}
}

// The same where the owner is not aware that another owned the key in between: its copy bears the other's epoch, and the
// refusal that one.
func TestLateRefusalOfAnothersCopy(t *testing.T) {
	g := newTrio()
	g.believe(1)
	g.write(t, 1, 1)
	g.cut[3] = true
	g.believe(2)
	g.write(t, 2, 2)
	g.believe(1)
	g.replicas[3].state("config").Promised = units.Epoch{Number: 1 << 20, Node: 9}
	g.cut[3] = false
	g.deliver(1, g.replicas[1].Resend(3, "config"))
	g.ticks(1, 2)
	if n := g.replicas[3].StoredVersions()["config"]; n != 2 {
		t.Errorf("the member still holds number %d", n)
	}
}
