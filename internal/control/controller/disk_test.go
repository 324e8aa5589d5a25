package controller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/control/changelog"
	"seamshunt/internal/settings"
	"seamshunt/internal/storage/wal"
	"seamshunt/internal/testutil"
)

const configText = `{"services":[{"name":"a","pool":"main","cap":2}],"promises":[{"name":"p","first_ms":100,"deadline_ms":3000}],
"layout":"mapping m { when path = \"/m\" to a promise p once }"}`

// startSingle starts the only controller of a fleet. The edits are applied before its start.
func startSingle(t *testing.T, dir string, edit ...func(*Controller)) *Controller {
	t.Helper()
	nodeSettings := &settings.Settings{Name: "c", Zone: "z", Addr: testutil.FreeAddr(t), HTTPAddr: testutil.FreeAddr(t), DataDir: dir, BootstrapDisks: 1, Platform: testutil.FreeAddr(t), Pools: []string{"main"}, PollMs: 500, ReserveBytes: 64 << 10}
	nodeSettings.Seeds = []string{nodeSettings.Addr}
	c, err := New(nodeSettings, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, apply := range edit {
		apply(c)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	return c
}

func sendRequest(t *testing.T, c *Controller, method, path, body string) (int, []byte) {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + c.Settings.HTTPAddr + path)
	req.Header.SetMethod(method)
	req.SetBodyString(body)
	if err := fasthttp.DoTimeout(req, resp, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode(), bytes.Clone(resp.Body())
}

func responseNumber(b []byte) int {
	var x struct{ Number int }
	_ = json.Unmarshal(b, &x)
	return x.Number
}

// TestOperators covers plans, confirmations, conflicts, the outcome of a repeated confirmation, and reading the exact
// bytes back, also after a restart from the disk.
func TestOperators(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	c := startSingle(t, dir)
	testutil.WaitUntil(t, "the bootstrap is done", func() bool { code, _ := sendRequest(t, c, "GET", "/v1/config", ""); return code == 404 })
	if code, b := sendRequest(t, c, "PUT", "/v1/config?number=0", `{"services":[]}`); code != 400 || !bytes.Contains(b, []byte(`"code":501`)) {
		t.Errorf("an invalid configuration: %d %s", code, b)
	}
	plan := func(text string) string {
		code, b := sendRequest(t, c, "POST", "/v1/plan", text)
		var x struct{ Plan string }
		if code != 200 || json.Unmarshal(b, &x) != nil || x.Plan == "" {
			t.Fatalf("plan: %d %s", code, b)
		}
		return fmt.Sprintf(`{"plan":%q}`, x.Plan)
	}
	one, two := plan(configText), plan(configText+" ")
	if code, _ := sendRequest(t, c, "GET", "/v1/config", ""); code != 404 {
		t.Error("a plan changed something")
	}
	code, b := sendRequest(t, c, "POST", "/v1/confirm", one)
	if code != 200 || responseNumber(b) != 1 {
		t.Fatalf("confirm: %d %s", code, b)
	}
	if code, b := sendRequest(t, c, "POST", "/v1/confirm", one); code != 200 || responseNumber(b) != 1 {
		t.Errorf("a repeated confirmation must return the first outcome: %d %s", code, b)
	}
	if code, b := sendRequest(t, c, "POST", "/v1/confirm", two); code != 409 || !bytes.Contains(b, []byte(`"code":511`)) {
		t.Errorf("a stale plan: %d %s", code, b)
	}
	if code, b := sendRequest(t, c, "POST", "/v1/confirm", `{"plan":"none"}`); code != 404 || !bytes.Contains(b, []byte(`"code":512`)) {
		t.Errorf("an unknown plan: %d %s", code, b)
	}
	for path, want := range map[string]int{"/v1/zones/none?number=0": 400, "/v1/zones/z": 400, "/v1/zones/z?number=0": 200, "/v1/other": 404} {
		if code, b := sendRequest(t, c, "PUT", path, `{"evacuated":true}`); code != want {
			t.Errorf("%s: %d %s", path, code, b)
		}
	}
	if code, b := sendRequest(t, c, "PUT", "/v1/zones/z?number=1", `{"evacuated":"yes"}`); code != 400 {
		t.Errorf("a value that is neither true nor false: %d %s", code, b)
	}
	c.Drain()
	c = startSingle(t, dir)
	t.Cleanup(c.Drain)
	testutil.WaitUntil(t, "the configuration is read back", func() bool { code, _ := sendRequest(t, c, "GET", "/v1/config", ""); return code == 200 })
	if _, b := sendRequest(t, c, "GET", "/v1/config", ""); string(b) != configText {
		t.Errorf("read back %q", b)
	}
	if code, b := sendRequest(t, c, "PUT", "/v1/config?number=1", configText+"\n"); code != 200 || responseNumber(b) != 2 {
		t.Errorf("the next change: %d %s", code, b)
	}
}

// TestDamagedDiskStartsUninitialized checks that a damaged disk gets a new identity without a vote and that the damaged
// file is kept.
func TestDamagedDiskStartsUninitialized(t *testing.T) {
	dir := t.TempDir()
	nodeSettings := &settings.Settings{DataDir: dir}
	first, err := openDisk(nodeSettings)
	if err != nil || !first.uninitialized || first.damage != nil {
		t.Fatal(first.uninitialized, first.damage, err)
	}
	if err := first.log.Append(first.log.Records()); err != nil {
		t.Fatal(err)
	}
	first.log.Close()
	reopened, err := openDisk(nodeSettings)
	if err != nil || reopened.uninitialized || reopened.damage != nil || reopened.self != first.self {
		t.Fatal(reopened.self, reopened.uninitialized, reopened.damage, err)
	}
	reopened.log.Close()
	path := filepath.Join(dir, "wal")
	x, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	x[10] ^= 1
	if err := os.WriteFile(path, x, 0o644); err != nil {
		t.Fatal(err)
	}
	other, err := openDisk(nodeSettings)
	if err != nil || !other.uninitialized || other.damage == nil || other.self == first.self {
		t.Fatalf("a damaged disk: same identity %v, uninitialized %v, %v, %v", other.self == first.self, other.uninitialized, other.damage, err)
	}
	other.log.Close()
	if _, err := os.Stat(path + ".damaged"); err != nil {
		t.Error(err)
	}
}

// TestFullDiskIsRefused checks that a write on a full disk is refused with its own code and changes nothing, and that
// writes succeed when there is free space again.
func TestFullDiskIsRefused(t *testing.T) {
	t.Parallel()
	c := startSingle(t, t.TempDir())
	t.Cleanup(c.Drain)
	testutil.WaitUntil(t, "the first configuration is written", func() bool {
		code, _ := sendRequest(t, c, "PUT", "/v1/config?number=0", configText)
		return code == 200
	})
	c.disk.mu.Lock()
	c.disk.injectedFault = func() error { return fmt.Errorf("%w: injected", wal.ErrFull) }
	c.disk.mu.Unlock()
	if code, b := sendRequest(t, c, "PUT", "/v1/config?number=1", configText+" "); code != 502 {
		t.Errorf("the write during which the disk runs full must have an unknown outcome: %d %s", code, b)
	}
	testutil.WaitUntil(t, "the disk is reported as full", func() bool {
		code, b := sendRequest(t, c, "PUT", "/v1/config?number=1", configText+" ")
		return code == 503 && bytes.Contains(b, []byte(`"code":515`))
	})
	c.disk.mu.Lock()
	c.disk.injectedFault = nil
	c.disk.mu.Unlock()
	testutil.WaitUntil(t, "writes succeed again", func() bool {
		code, _ := sendRequest(t, c, "PUT", "/v1/config?number=1", configText+"  ")
		return code == 200
	})
	if _, b := sendRequest(t, c, "GET", "/v1/config", ""); string(b) != configText+"  " {
		t.Errorf("read back %q", b)
	}
}

// TestAudit checks that an acknowledged change is in the audit record and that the record verifies.
func TestAudit(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	c := startSingle(t, dir)
	t.Cleanup(c.Drain)
	testutil.WaitUntil(t, "the first configuration is written", func() bool {
		code, _ := sendRequest(t, c, "PUT", "/v1/config?number=0", configText)
		return code == 200
	})
	if code, b := sendRequest(t, c, "PUT", "/v1/config?number=0", configText); code != 409 {
		t.Errorf("a conflict: %d %s", code, b)
	}
	key, err := os.ReadFile(filepath.Join(dir, "audit.pub"))
	if err != nil {
		t.Fatal(err)
	}
	if n, err := changelog.Verify(dir, string(bytes.TrimSpace(key)), nil); n != 1 || err != nil {
		t.Errorf("%d entries, %v", n, err)
	}
}
