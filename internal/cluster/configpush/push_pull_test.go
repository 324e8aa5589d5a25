package configpush

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/units"
)

// Whose digest differs is asked, unless it was told before this node's own news last changed.
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
		t.Error("a starting node asks nobody")
	}
	now = now.Add(time.Second)
	before := now.Add(-10 * time.Millisecond)
	f.Apply(Item{Key: "config", Version: 4})
	if pulls(member(7, before)) != 0 {
		t.Error("an old digest counts")
	}
	now = now.Add(100 * time.Millisecond)
	if pulls(member(7, before)) != 0 {
		t.Error("an old digest counts a beat later")
	}
	if pulls(member(f.Digest, now)) != 0 {
		t.Error("one that holds the same is asked")
	}
	if pulls(member(7, now)) != 1 {
		t.Error("one that still differs is not asked")
	}
	now = now.Add(digestValidity)
	if pulls(member(7, now.Add(-digestValidity))) != 0 {
		t.Error("a digest counts for ever")
	}
}
