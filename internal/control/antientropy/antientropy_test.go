package antientropy

import (
	"math/rand/v2"
	"testing"
	"time"

	"seamshunt/internal/control/register"
	"seamshunt/internal/units"
)

// Voters compare their copies; a node without a vote sends no requests.
func TestOnlyVotersCompare(t *testing.T) {
	voters := []units.NodeID{1, 2, 3}
	count := func(self units.NodeID) (n int) {
		i := New(self, 0, rand.New(rand.NewPCG(1, 1)))
		for s := range 60 {
			n += len(i.Tick(units.Time(s)*units.Time(time.Second), voters, map[string]*register.State{}).Messages)
		}
		return n
	}
	if n := count(1); n == 0 {
		t.Error("a voter sends no requests")
	}
	if n := count(9); n != 0 {
		t.Errorf("a node without a vote sent %d requests", n)
	}
}
