package configpush

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/units"
)

// A peer with a different digest is sent a Pull, unless the digest was received before this node's own values last
// changed.
func TestPullOnDifferentDigest(t *testing.T) {
	f, now := New(1), units.Time(time.Hour)
	member := func(digest uint64, digestAt units.Time) []membership.Member {
		return []membership.Member{{Node: 1}, {Node: 2, FeedDigest: digest, FeedDigestAt: digestAt}}
	}
	pulls := func(all []membership.Member) int {
		t.Helper()
		count := 0
		for _, n := range f.PushAndPull(now, all, 1).Messages {
			if n.Kind == Pull {
				count++
			}
		}
		return count
	}
	if pulls(member(7, now)) != 1 {
		t.Error("a starting node sends no Pull")
	}
	now = now.Add(time.Second)
	before := now.Add(-10 * time.Millisecond)
	f.Apply(Item{Key: "config", Version: 4})
	if pulls(member(7, before)) != 0 {
		t.Error("Pull sent for a digest from before the last change")
	}
	now = now.Add(100 * time.Millisecond)
	if pulls(member(7, before)) != 0 {
		t.Error("Pull sent for an old digest at the next call")
	}
	if pulls(member(f.Digest, now)) != 0 {
		t.Error("Pull sent to a peer with the same digest")
	}
	if pulls(member(7, now)) != 1 {
		t.Error("no Pull sent to a peer whose digest still differs")
	}
	now = now.Add(digestValidity)
	if pulls(member(7, now.Add(-digestValidity))) != 0 {
		t.Error("Pull sent for an expired digest")
	}
}
