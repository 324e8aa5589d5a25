package controller

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/weatherglass"
)

// A controller whose last write was slow is unfit, so that nobody may write by it: it tries its disk by itself, and is fit
// again once the disk is quick.
func TestSlowDiskIsTriedAgain(t *testing.T) {
	t.Parallel()
	c := alone(t, t.TempDir())
	t.Cleanup(c.Drain)
	weatherglass.Until(t, "the first is taken", func() bool { code, _ := call(t, c, "PUT", "/v1/config?number=0", config); return code == 200 })
	weatherglass.Until(t, "it says that it is unfit", func() bool {
		c.disk.mu.Lock()
		c.disk.slow = stallAt + time.Millisecond // as a slow last write leaves it
		c.disk.mu.Unlock()
		for _, m := range c.Members() {
			if m.Node == c.Self {
				return m.Flags&membership.Unfit != 0
			}
		}
		return false
	})
	weatherglass.Until(t, "it is fit again", func() bool { return !c.disk.unfit(c.Crew.Now()) })
}
