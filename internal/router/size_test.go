package router

import (
	"testing"
	"time"

	"seamshunt/internal/adapter"
	"seamshunt/internal/config"
	"seamshunt/internal/router/admission"
)

func TestBrieferPromptsGoFirst(t *testing.T) {
	for _, x := range []struct {
		read time.Duration
		want uint8
	}{{0, 1}, {briefest, 1}, {briefest + 1, 2}, {2 * briefest, 2}, {5 * briefest, 4}, {time.Second, 8}, {time.Hour, 9}} {
		if got := urgency(x.read); got != x.want {
			t.Errorf("a prompt that is read in %v has urgency %d, not %d", x.read, got, x.want)
		}
	}
	for _, x := range []struct {
		rank int
		want uint8
	}{{0, 2}, {3, 5}, {20, 9}} {
		if got := byRank(&config.Mapping{Rank: x.rank}); got != x.want {
			t.Errorf("without a size, rank %d has urgency %d, not %d", x.rank, got, x.want)
		}
	}
}

func TestSizeCountsAttentionAndWhatAHomeHolds(t *testing.T) {
	s := &config.Service{MemoryTokens: 600000}
	config.SetDefaults(s)
	p := adapter.Prompt{InputTokens: 50000, MaxOutputTokens: 1000, Parts: []adapter.PromptPart{{ID: "a", Tokens: 500}, {ID: "b", Tokens: 4500}, {ID: "c", Tokens: 45000}}}
	var q admission.Request
	size(p, s, &q)
	// 45,000 tokens at 75 a millisecond, and 45,000 x 27,500 pairs; away from home 5,000 more, and all pairs.
	home, away := 600*time.Millisecond+269775*time.Microsecond, 666666*time.Microsecond+272500*time.Microsecond
	if near := func(a, b time.Duration) bool { return (a - b).Abs() < time.Millisecond }; !near(q.PrefillTime, home) || !near(q.FullPrefillTime, away) {
		t.Errorf("read at home in %v, not %v; elsewhere in %v, not %v", q.PrefillTime, home, q.FullPrefillTime, away)
	}
	if q.MemoryTokens != 46000 || q.PreferredCount != 1 || q.NonPreferredPenalty <= q.FullPrefillTime-q.PrefillTime {
		t.Errorf("%+v", q)
	}
	p.InputTokens = 100 // parts that claim more than the whole
	if size(p, s, &q); q.PrefillTime != 0 || q.MemoryTokens != 1000 || q.FullPrefillTime <= 0 {
		t.Errorf("%+v", q)
	}
}
