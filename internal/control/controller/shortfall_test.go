package controller

import (
	"bytes"
	"testing"

	"seamshunt/internal/testutil"
)

// TestShortfallIsReported checks that a fleet with too few disks for its settings serves requests as usual, and that its
// status and metrics report the shortfall.
func TestShortfallIsReported(t *testing.T) {
	t.Parallel()
	c := startSingle(t, t.TempDir(), func(c *Controller) { c.Settings.MaxLostMachines = 1 })
	t.Cleanup(c.Drain)
	testutil.WaitUntil(t, "the first configuration is written", func() bool {
		code, _ := sendRequest(t, c, "PUT", "/v1/config?number=0", configText)
		return code == 200
	})
	contains := func(path, text string) func() bool {
		return func() bool {
			_, b := sendRequest(t, c, "GET", path, "")
			return bytes.Contains(b, []byte(text))
		}
	}
	testutil.WaitUntil(t, "the status reports it", contains("/status", `"voters_fall_short":"1 members bear the loss of 0, not of 1: 3 disks that count are wanted"`))
	testutil.WaitUntil(t, "the metrics report it", contains("/metrics", "seamshunt_voters_fall_short 1"))
}
