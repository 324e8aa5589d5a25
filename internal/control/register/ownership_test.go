package register

import (
	"testing"

	"seamshunt/internal/resultcode"
)

// An owner that was superseded without noticing must not refuse a write based on a version that the new owner wrote,
// nor a write that the new owner has applied: it confirms its epoch with a majority first. A write based on a version that no node has
// is refused.
func TestSupersededOwnerConfirmsBeforeRefusal(t *testing.T) {
	c := newTestCluster()
	c.setOwner(1, 1)
	c.setOwner(2, 2)
	c.expectResult(t, "the first write", 1, Request{ExpectedVersion: 0, RequestID: "a", Data: []byte("one")}, resultcode.OK, 1)
	c.expectResult(t, "the other owner's write", 2, Request{ExpectedVersion: 1, RequestID: "b", Data: []byte("two")}, resultcode.OK, 2)
	// Node 1 still considers itself the owner, and has seen version 1 only.
	if o := c.replicas[1].ownerships["config"]; o == nil || o.current.Version != 1 || o.phase != holding {
		t.Fatalf("node 1 knows of the other owner: %+v", o)
	}
	c.expectResult(t, "a write based on version 2", 1, Request{ExpectedVersion: 2, RequestID: "c", Data: []byte("three")}, resultcode.OK, 3)
	c.expectResult(t, "a resend of a write that the other owner applied", 2, Request{ExpectedVersion: AnyVersion - 1, RequestID: "c"}, resultcode.OK, 3)
	c.expectResult(t, "a write based on a version that no node has", 2, Request{ExpectedVersion: 9, RequestID: "d", Data: []byte("no")}, resultcode.VersionConflict, 3)
}

// The same for a lookup, whose write could have got any version after ExpectedVersion.
func TestSupersededOwnerConfirmsBeforeLookup(t *testing.T) {
	c := newTestCluster()
	c.setOwner(1, 1)
	c.setOwner(2, 2)
	c.expectResult(t, "the first write", 1, Request{ExpectedVersion: 0, RequestID: "a"}, resultcode.OK, 1)
	c.expectResult(t, "the other owner's write", 2, Request{ExpectedVersion: 1, RequestID: "b"}, resultcode.OK, 2)
	c.expectResult(t, "applied by the other owner", 1, Request{Lookup: true, ExpectedVersion: 0, RequestID: "b"}, resultcode.OK, 2)
	c.expectResult(t, "applied by no owner", 1, Request{Lookup: true, ExpectedVersion: 0, RequestID: "x"}, resultcode.VersionConflict, 2)
	c.expectResult(t, "a lookup does not write", 1, Request{Lookup: true, ExpectedVersion: 2, RequestID: "y"}, resultcode.VersionConflict, 2)
}
