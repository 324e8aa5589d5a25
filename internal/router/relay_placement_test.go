package router

import (
	"testing"
	"time"

	"seamshunt/internal/adapter"
	"seamshunt/internal/config"
	"seamshunt/internal/router/admission"
)

func TestPriorityByPrefillTimeAndRank(t *testing.T) {
	for _, x := range []struct {
		read time.Duration
		want uint8
	}{{0, 1}, {topPriorityPrefillTime, 1}, {topPriorityPrefillTime + 1, 2}, {2 * topPriorityPrefillTime, 2}, {5 * topPriorityPrefillTime, 4}, {time.Second, 8}, {time.Hour, 9}} {
		if got := priorityByPrefillTime(x.read); got != x.want {
			t.Errorf("a prompt with read time %v has urgency %d, want %d", x.read, got, x.want)
		}
	}
	for _, x := range []struct {
		rank int
		want uint8
	}{{0, 2}, {3, 5}, {20, 9}} {
		if got := priorityByRank(&config.Mapping{Rank: x.rank}); got != x.want {
			t.Errorf("without a size, rank %d has urgency %d, want %d", x.rank, got, x.want)
		}
	}
}

func TestCostCountsAttentionAndCachedPrefix(t *testing.T) {
	s := &config.Service{MemoryTokens: 600000}
	config.SetDefaults(s)
	p := adapter.Prompt{InputTokens: 50000, MaxOutputTokens: 1000, Parts: []adapter.PromptPart{{ID: "a", Tokens: 500}, {ID: "b", Tokens: 4500}, {ID: "c", Tokens: 45000}}}
	var q admission.Request
	estimateCost(p, s, &q)
	// With the prefix cached: 45,000 tokens at 75 per millisecond, and 45,000 x 27,500 attention pairs. Without it: 5,000
	// more tokens and all pairs.
	cached, uncached := 600*time.Millisecond+269775*time.Microsecond, 666666*time.Microsecond+272500*time.Microsecond
	if near := func(a, b time.Duration) bool { return (a - b).Abs() < time.Millisecond }; !near(q.PrefillTime, cached) || !near(q.FullPrefillTime, uncached) {
		t.Errorf("read with the cached prefix in %v, want %v; without in %v, want %v", q.PrefillTime, cached, q.FullPrefillTime, uncached)
	}
	if q.MemoryTokens != 46000 || q.PreferredCount != 1 || q.NonPreferredPenalty <= q.FullPrefillTime-q.PrefillTime {
		t.Errorf("%+v", q)
	}
	p.InputTokens = 100 // the parts add up to more than the whole prompt
	if estimateCost(p, s, &q); q.PrefillTime != 0 || q.MemoryTokens != 1000 || q.FullPrefillTime <= 0 {
		t.Errorf("%+v", q)
	}
}
