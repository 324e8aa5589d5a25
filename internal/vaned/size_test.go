package vaned

import (
	"testing"

	"seamshunt/internal/codebook"
	"seamshunt/internal/forecast"
)

func TestBrieferPromptsGoFirst(t *testing.T) {
	at := func(in int) int {
		return urgency(&relay{m: &forecast.Mapping{Rank: 4}, sized: true, prompt: codebook.Prompt{In: in}})
	}
	for _, x := range []struct{ in, want int }{{1, 1}, {1024, 1}, {1025, 2}, {2048, 2}, {5000, 4}, {60000, 7}, {1 << 30, 9}} {
		if got := at(x.in); got != x.want {
			t.Errorf("a prompt of %d tokens has urgency %d, not %d", x.in, got, x.want)
		}
	}
	for _, x := range []struct{ rank, want int }{{0, 2}, {3, 5}, {20, 9}} {
		if got := urgency(&relay{m: &forecast.Mapping{Rank: x.rank}}); got != x.want {
			t.Errorf("without a size, rank %d has urgency %d, not %d", x.rank, got, x.want)
		}
	}
}
