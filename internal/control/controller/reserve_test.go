package controller

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/testutil"
)

// TestChangesOnAFullDisk checks that a full disk still takes an evacuation and configurations of usual size, from its
// reserve, and that they are read back after a restart. When the reserve is used up the answer is 515; with free space
// writes succeed again.
func TestChangesOnAFullDisk(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	var full atomic.Bool
	fill := func(c *Controller) {
		room := c.disk.file.Allocate
		c.disk.file.Allocate = func(f *os.File, off, n int64) error {
			if full.Load() {
				return syscall.ENOSPC
			}
			return room(f, off, n)
		}
	}
	c := startSingle(t, dir, fill)
	testutil.WaitUntil(t, "the first configuration is written", func() bool {
		code, _ := sendRequest(t, c, "PUT", "/v1/config?number=0", configText)
		return code == 200
	})
	full.Store(true)
	text := func(n int) string { return configText + strings.Repeat(" ", 2000+n) }
	if code, b := sendRequest(t, c, "PUT", "/v1/zones/z?number=0", `{"evacuated":true}`); code != 200 {
		t.Fatalf("an evacuation on a full disk: %d %s", code, b)
	}
	put := func(n int) int {
		code, b := sendRequest(t, c, "PUT", fmt.Sprintf("/v1/config?number=%d", n), text(n))
		if code != 200 && code != 502 && !bytes.Contains(b, []byte(`"code":515`)) {
			t.Fatalf("change %d: %d %s", n, code, b)
		}
		return code
	}
	for n := 1; n <= 20; n++ {
		if code := put(n); code != 200 {
			t.Fatalf("change %d of 2 kB: %d", n, code)
		}
	}
	c.Drain()
	c = startSingle(t, dir, fill)
	t.Cleanup(func() { c.Drain() })
	testutil.WaitUntil(t, "the configuration is read back", func() bool { code, _ := sendRequest(t, c, "GET", "/v1/config", ""); return code == 200 })
	if _, b := sendRequest(t, c, "GET", "/v1/config", ""); string(b) != text(20) {
		t.Errorf("read back %d bytes, %d sent", len(b), len(text(20)))
	}
	// A configuration that is larger than all obsolete records: the reserve has no space left for it, not even by a
	// compaction.
	large := configText + strings.Repeat(" ", 400<<10)
	if code, b := sendRequest(t, c, "PUT", "/v1/config?number=21", large); code != 502 {
		t.Errorf("larger than the reserve: %d %s", code, b)
	}
	testutil.WaitUntil(t, "the disk is reported as full", func() bool {
		code, b := sendRequest(t, c, "PUT", "/v1/config?number=21", large)
		return code == 503 && bytes.Contains(b, []byte(`"code":515`))
	})
	full.Store(false)
	testutil.WaitUntil(t, "writes succeed again", func() bool {
		code, _ := sendRequest(t, c, "PUT", "/v1/config?number=21", text(21))
		return code == 200 || code == 409
	})
}

// TestBootstrapReportsMissingMembers checks that a first start with too few machines reports it, and completes as soon as an
// uninitialized disk appears at any address.
func TestBootstrapReportsMissingMembers(t *testing.T) {
	t.Parallel()
	var seed string
	start := func(dir string) *Controller {
		return startSingle(t, dir, func(c *Controller) {
			c.Settings.BootstrapDisks, c.planner.FixedSize = 2, 2
			if seed == "" {
				seed = c.Settings.Addr
			}
		})
	}
	c := start(t.TempDir())
	t.Cleanup(c.Drain)
	reports := func(want string) func() bool {
		return func() bool {
			_, b := sendRequest(t, c, "GET", "/status", "")
			return bytes.Contains(b, []byte(want))
		}
	}
	testutil.WaitUntil(t, "the status reports a missing member", reports("founding: 1 of 2 blank disks seen"))
	if code, b := sendRequest(t, c, "PUT", "/v1/config?number=0", configText); code != 503 || !bytes.Contains(b, []byte(`"code":514`)) {
		t.Errorf("a change before the bootstrap: %d %s", code, b)
	}
	late := startSingle(t, t.TempDir(), func(x *Controller) {
		x.Settings.BootstrapDisks, x.planner.FixedSize = 2, 2
		x.Gossip = membership.New(membership.Member{Node: x.Self, Incarnation: 1, Role: membership.Controller, Addr: x.Settings.Addr, HTTPAddr: x.Settings.HTTPAddr, Zone: "z"}, []string{seed}, rand.New(rand.NewPCG(1, 2)))
	})
	t.Cleanup(late.Drain)
	testutil.WaitUntil(t, "both are voters", reports(`"state":"voter"`))
}
