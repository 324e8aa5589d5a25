package register

import (
	"fmt"
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// persistentCluster is three members whose messages are delivered at once, and whose disks keep what they sync.
type persistentCluster struct {
	now      units.Time
	replicas map[units.NodeID]*Replica
	disks    map[units.NodeID]map[string]message.Record
	isolated map[units.NodeID]bool
	sent     []message.Message
	tag      uint64
}

func newPersistentCluster() *persistentCluster {
	g := &persistentCluster{now: units.Time(time.Second), replicas: map[units.NodeID]*Replica{}, disks: map[units.NodeID]map[string]message.Record{}, isolated: map[units.NodeID]bool{}}
	set := QuorumSet{Version: 1, Members: []units.NodeID{1, 2, 3}}
	for id := units.NodeID(1); id <= 3; id++ {
		g.disks[id] = map[string]message.Record{"set": {Kind: RecordQuorum, Data: set.Pack()}}
		g.restart(id, 100+id)
	}
	return g
}

// restart starts a replica from the contents of its disk; runID is the random id of the start.
func (g *persistentCluster) restart(id, runID units.NodeID) {
	r := New(id, runID)
	var records []message.Record
	for _, key := range message.SortedKeys(g.disks[id]) {
		records = append(records, g.disks[id][key])
	}
	if err := r.Load(records); err != nil {
		panic(err)
	}
	g.replicas[id] = r
}

func (g *persistentCluster) deliver(from units.NodeID, out message.Effects) {
	for _, record := range out.Writes {
		g.disks[from][fmt.Sprint(record.Kind, record.Key)] = record
	}
	for _, msg := range append(out.Messages, out.AfterSync...) {
		msg.From = from
		g.sent = append(g.sent, msg)
		if g.replicas[msg.To] != nil && (msg.To == from || !g.isolated[msg.To] && !g.isolated[from]) {
			g.deliver(msg.To, g.replicas[msg.To].Step(g.now, msg))
		}
	}
}

// setOwner makes all replicas regard one node as the only one that may own keys.
func (g *persistentCluster) setOwner(owner units.NodeID) {
	for _, r := range g.replicas {
		r.SetEligible([]units.NodeID{owner})
	}
}

func (g *persistentCluster) ticks(id units.NodeID, rounds int) {
	for range rounds {
		g.now = g.now.Add(400 * time.Millisecond)
		g.deliver(id, g.replicas[id].Tick(g.now))
	}
}

// submit makes a request through one node and returns its result, if there is one.
func (g *persistentCluster) submit(node units.NodeID, request Request) (Result, bool) {
	g.tag++
	request.Tag, request.Key = g.tag, "config"
	g.deliver(node, g.replicas[node].Submit(g.now, request))
	for range 8 {
		for _, r := range g.replicas[node].Results {
			if r.Tag == request.Tag {
				return r, true
			}
		}
		g.ticks(node, 1)
	}
	return Result{}, false
}

func (g *persistentCluster) write(t *testing.T, node units.NodeID, n int) {
	t.Helper()
	r, ok := g.submit(node, Request{Write: true, ExpectedVersion: units.Version(n - 1), RequestID: fmt.Sprint("plan", n), Data: fmt.Append(nil, "value ", n)})
	if !ok || r.Code != resultcode.OK || r.Version != units.Version(n) {
		t.Fatalf("write %d: %+v", n, r)
	}
}

// newStaleCluster returns a cluster after a thousand writes, of which member 1 received only the first ten. Member 1
// has just been restarted, and all nodes regard it as the owner.
func newStaleCluster(t *testing.T) *persistentCluster {
	t.Helper()
	g := newPersistentCluster()
	g.setOwner(1)
	for n := 1; n <= 10; n++ {
		g.write(t, 1, n)
	}
	g.isolated[1] = true
	g.setOwner(2)
	for n := 11; n <= 1000; n++ {
		g.write(t, 2, n)
	}
	g.restart(1, 201)
	g.setOwner(1)
	if n := g.replicas[1].StoredVersions()["config"]; n != 10 {
		t.Fatalf("the stale disk holds version %d", n)
	}
	g.sent = nil
	return g
}

// Without a majority a restarted owner answers no request and sends no value from its disk, however often requests are
// repeated.
func TestStaleOwnerWithoutMajorityAnswersNothing(t *testing.T) {
	g := newStaleCluster(t)
	for _, a := range []Request{{}, {Write: true, ExpectedVersion: 10, RequestID: "x", Data: []byte("x")}, {Write: true, ExpectedVersion: 1000, RequestID: "y", Data: []byte("y")}} {
		if r, ok := g.submit(1, a); ok {
			t.Errorf("without a majority it answers %+v with %+v", a, r)
		}
	}
	if n := len(g.replicas[1].Chosen); n > 0 {
		t.Errorf("it reports %d chosen values", n)
	}
	for _, msg := range g.sent {
		if msg.Kind == Accept || msg.Kind == Confirm || msg.Kind == Reply {
			t.Errorf("it sends kind %d to %d before a majority has promised", msg.Kind, msg.To)
		}
	}
}

// With one other member reachable, a restarted owner prepares first, adopts the newest value, and only then answers.
// A read returns version 1000, a write based on version 10 conflicts, and a write based on version 1000 is applied.
func TestStaleOwnerPreparesFirst(t *testing.T) {
	for _, a := range []struct {
		Request
		want Result
	}{
		{Request{}, Result{Code: resultcode.OK, Version: 1000, Data: []byte("value 1000")}},
		{Request{Write: true, ExpectedVersion: 10, RequestID: "x", Data: []byte("x")}, Result{Code: resultcode.VersionConflict, Version: 1000}},
		{Request{Write: true, ExpectedVersion: 1000, RequestID: "y", Data: []byte("y")}, Result{Code: resultcode.OK, Version: 1001}},
	} {
		g := newStaleCluster(t)
		g.isolated = map[units.NodeID]bool{3: true}
		r, ok := g.submit(1, a.Request)
		if !ok || r.Code != a.want.Code || r.Version != a.want.Version || string(r.Data) != string(a.want.Data) {
			t.Errorf("%+v is answered %+v", a.Request, r)
		}
		promised := map[units.NodeID]bool{}
		for _, msg := range g.sent {
			switch msg.Kind {
			case Promise:
				promised[msg.From] = true
			case Accept, Reply:
				if len(promised) < 2 {
					t.Fatalf("kind %d is sent with promises from %v only", msg.Kind, promised)
				}
			}
		}
	}
}

// Two starts from the same disk never use the same epoch.
func TestRestartsUseDistinctEpochs(t *testing.T) {
	epochs := map[string]bool{}
	for run := units.NodeID(201); run < 211; run++ {
		g := newPersistentCluster()
		g.setOwner(1)
		g.write(t, 1, 1)
		g.isolated[1] = true
		g.restart(1, run)
		g.setOwner(1)
		g.sent = nil
		g.ticks(1, 2)
		for _, msg := range g.sent {
			var h header
			if msg.Kind != Prepare || msg.To != 2 {
				continue
			}
			if err := message.Unpack(msg.Body, &h, new([]byte), new([]byte), new([]byte)); err != nil {
				t.Fatal(err)
			}
			if h.EpochNode != uint64(run) {
				t.Errorf("the epoch of run %v contains run id %x", run, h.EpochNode)
			}
			epochs[fmt.Sprint(h.EpochNumber, h.EpochNode)] = true
		}
	}
	if len(epochs) < 10 {
		t.Errorf("10 starts used only %d epochs", len(epochs))
	}
}

// A member promised a higher epoch during a network partition, so it refuses the owner's message after a majority has
// already answered. The owner acquires the key again, so that the member accepts its copy.
func TestLateRefusalRestartsAcquisition(t *testing.T) {
	g := newPersistentCluster()
	g.setOwner(1)
	g.write(t, 1, 1)
	g.isolated[3] = true
	g.write(t, 1, 2)
	g.replicas[3].state("config").Promised = units.Epoch{Number: 1 << 20, Node: 9}
	g.isolated[3] = false
	g.deliver(1, g.replicas[1].Resend(3, "config"))
	g.ticks(1, 2)
	if n := g.replicas[3].StoredVersions()["config"]; n != 2 {
		t.Errorf("the member still holds version %d", n)
	}
}

// The same if the owner does not know that another node owned the key in between: its copy and the refusal carry the
// other owner's epoch.
func TestLateRefusalOfOtherOwnersCopy(t *testing.T) {
	g := newPersistentCluster()
	g.setOwner(1)
	g.write(t, 1, 1)
	g.isolated[3] = true
	g.setOwner(2)
	g.write(t, 2, 2)
	g.setOwner(1)
	g.replicas[3].state("config").Promised = units.Epoch{Number: 1 << 20, Node: 9}
	g.isolated[3] = false
	g.deliver(1, g.replicas[1].Resend(3, "config"))
	g.ticks(1, 2)
	if n := g.replicas[3].StoredVersions()["config"]; n != 2 {
		t.Errorf("the member still holds version %d", n)
	}
}
