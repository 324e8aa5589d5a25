package configpush

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/units"
)

// Whose digest differs is asked, unless it was told before this node's own news last changed.
func TestBehind(t *testing.T) {
	b, now := New(1), units.Time(time.Hour)
	member := func(news uint64, heard units.Time) []membership.Member {
		return []membership.Member{{Node: 1}, {Node: 2, FeedDigest: news, FeedDigestAt: heard}}
	}
	asked := func(all []membership.Member) int {
		t.Helper()
		k := 0
		for _, n := range b.PushAndPull(now, all, 1).Messages {
			if n.Kind == Pull {
				k++
			}
		}
		return k
	}
	if asked(member(7, now)) != 1 {
		t.Error("a starting node asks nobody")
	}
	now = now.Add(time.Second)
	before := now.Add(-10 * time.Millisecond)
	b.Apply(Item{Key: "config", Version: 4})
	if asked(member(7, before)) != 0 {
		t.Error("an old digest counts")
	}
	now = now.Add(100 * time.Millisecond)
	if asked(member(7, before)) != 0 {
		t.Error("an old digest counts a beat later")
	}
	if asked(member(b.Digest, now)) != 0 {
		t.Error("one that holds the same is asked")
	}
	if asked(member(7, now)) != 1 {
		t.Error("one that still differs is not asked")
	}
	now = now.Add(freshFor)
	if asked(member(7, now.Add(-freshFor))) != 0 {
		t.Error("a digest counts for ever")
	}
}
