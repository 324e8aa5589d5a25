package node

import (
	"time"

	"seamshunt/internal/units"
)

// How long a daemon's loops wait. While the fleet is calm nothing in them is due sooner than Seldom; each wake-up costs
// some 50 us of processor time, which an idle fleet would pay for nothing else.
const (
	IdleInterval = 100 * time.Millisecond
	often        = 50 * time.Millisecond
	calmFor      = 3 * time.Second
)

// saw notes membership's version and says whether it is a new one.
func (t *Base) saw(now units.Time, ver uint64) bool {
	if ver == t.ver.Load() {
		return false
	}
	t.ver.Store(ver)
	t.since.Store(int64(now))
	t.moved()
	return true
}

func (t *Base) moved() {
	if t.OnChange != nil {
		t.OnChange()
	}
}

// MembershipStable says whether membership has stood still for a while.
func (t *Base) MembershipStable(now units.Time) bool {
	return now.Sub(units.Time(t.since.Load())) > calmFor
}
