package register

import (
	"testing"

	"seamshunt/internal/resultcode"
)

// An owner that was superseded unaware must not refuse a change that builds on what the other wrote, nor one that the other
// took: it asks a majority first. One that builds on a number that nobody has is refused.
func TestUnawareOwnerRefusesNothing(t *testing.T) {
	c := newCluster()
	c.believe(1, 1)
	c.believe(2, 2)
	c.want(t, "the first", 1, Request{ExpectedVersion: 0, RequestID: "a", Data: []byte("one")}, resultcode.OK, 1)
	c.want(t, "the other owner's", 2, Request{ExpectedVersion: 1, RequestID: "b", Data: []byte("two")}, resultcode.OK, 2)
	// 1 still holds the key, as far as it knows, and has seen number 1 alone.
	if o := c.replicas[1].owned["config"]; o == nil || o.best.Version != 1 || o.phase != holding {
		t.Fatalf("1 knows of the other: %+v", o)
	}
	c.want(t, "a change on number 2", 1, Request{ExpectedVersion: 2, RequestID: "c", Data: []byte("three")}, resultcode.OK, 3)
	c.want(t, "a resend of what the other took", 2, Request{ExpectedVersion: AnyVersion - 1, RequestID: "c"}, resultcode.OK, 3)
	c.want(t, "a change on a number that nobody has", 2, Request{ExpectedVersion: 9, RequestID: "d", Data: []byte("no")}, resultcode.VersionConflict, 3)
}

// The same for a lookup, which could have got any number from the one that it names on.
func TestUnawareOwnerLooksUp(t *testing.T) {
	c := newCluster()
	c.believe(1, 1)
	c.believe(2, 2)
	c.want(t, "the first", 1, Request{ExpectedVersion: 0, RequestID: "a"}, resultcode.OK, 1)
	c.want(t, "the other owner's", 2, Request{ExpectedVersion: 1, RequestID: "b"}, resultcode.OK, 2)
	c.want(t, "taken by the other", 1, Request{Lookup: true, ExpectedVersion: 0, RequestID: "b"}, resultcode.OK, 2)
	c.want(t, "taken by nobody", 1, Request{Lookup: true, ExpectedVersion: 0, RequestID: "x"}, resultcode.VersionConflict, 2)
	c.want(t, "no lookup writes", 1, Request{Lookup: true, ExpectedVersion: 2, RequestID: "y"}, resultcode.VersionConflict, 2)
}
