package controller

import (
	"bytes"
	"testing"

	"seamshunt/internal/testutil"
)

// Settings that ask for more than the disks there are can bear are served all the same, and said in status and metrics.
func TestShortfallIsSaid(t *testing.T) {
	t.Parallel()
	c := alone(t, t.TempDir(), func(c *Controller) { c.Settings.MaxLostMachines = 1 })
	t.Cleanup(c.Drain)
	testutil.Until(t, "the first is taken", func() bool { code, _ := call(t, c, "PUT", "/v1/config?number=0", configText); return code == 200 })
	says := func(path, text string) func() bool {
		return func() bool {
			_, b := call(t, c, "GET", path, "")
			return bytes.Contains(b, []byte(text))
		}
	}
	testutil.Until(t, "status says it", says("/status", `"voters_fall_short":"1 members bear the loss of 0, not of 1: 3 disks that count are wanted"`))
	testutil.Until(t, "metrics say it", says("/metrics", "seamshunt_voters_fall_short 1"))
}
