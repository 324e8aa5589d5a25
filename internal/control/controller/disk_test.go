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

// alone starts a core of one disk; edit may change it before it runs.
func alone(t *testing.T, dir string, edit ...func(*Controller)) *Controller {
	t.Helper()
	b := &settings.Settings{Name: "c", Zone: "z", Addr: testutil.Addr(t), HTTPAddr: testutil.Addr(t), DataDir: dir, BootstrapDisks: 1, Platform: testutil.Addr(t), Pools: []string{"main"}, PollMs: 500, ReserveBytes: 64 << 10}
	b.Seeds = []string{b.Addr}
	c, err := New(b, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range edit {
		f(c)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	return c
}

func call(t *testing.T, c *Controller, method, path, body string) (int, []byte) {
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

func number(b []byte) int {
	var x struct{ Number int }
	_ = json.Unmarshal(b, &x)
	return x.Number
}

// Plan, confirm, conflict, a resend's outcome, and the read-back byte for byte, also after a start from the disk.
func TestOperators(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	c := alone(t, dir)
	testutil.Until(t, "it founds itself", func() bool { code, _ := call(t, c, "GET", "/v1/config", ""); return code == 404 })
	if code, b := call(t, c, "PUT", "/v1/config?number=0", `{"services":[]}`); code != 400 || !bytes.Contains(b, []byte(`"code":501`)) {
		t.Errorf("a bad one: %d %s", code, b)
	}
	plan := func(text string) string {
		code, b := call(t, c, "POST", "/v1/plan", text)
		var x struct{ Plan string }
		if code != 200 || json.Unmarshal(b, &x) != nil || x.Plan == "" {
			t.Fatalf("plan: %d %s", code, b)
		}
		return fmt.Sprintf(`{"plan":%q}`, x.Plan)
	}
	one, two := plan(configText), plan(configText+" ")
	if code, _ := call(t, c, "GET", "/v1/config", ""); code != 404 {
		t.Error("a plan changed something")
	}
	code, b := call(t, c, "POST", "/v1/confirm", one)
	if code != 200 || number(b) != 1 {
		t.Fatalf("confirm: %d %s", code, b)
	}
	if code, b := call(t, c, "POST", "/v1/confirm", one); code != 200 || number(b) != 1 {
		t.Errorf("the same again must find its outcome: %d %s", code, b)
	}
	if code, b := call(t, c, "POST", "/v1/confirm", two); code != 409 || !bytes.Contains(b, []byte(`"code":511`)) {
		t.Errorf("a stale plan: %d %s", code, b)
	}
	if code, b := call(t, c, "POST", "/v1/confirm", `{"plan":"none"}`); code != 404 || !bytes.Contains(b, []byte(`"code":512`)) {
		t.Errorf("no plan: %d %s", code, b)
	}
	for path, want := range map[string]int{"/v1/zones/none?number=0": 400, "/v1/zones/z": 400, "/v1/zones/z?number=0": 200, "/v1/other": 404} {
		if code, b := call(t, c, "PUT", path, `{"evacuated":true}`); code != want {
			t.Errorf("%s: %d %s", path, code, b)
		}
	}
	if code, b := call(t, c, "PUT", "/v1/zones/z?number=1", `{"evacuated":"yes"}`); code != 400 {
		t.Errorf("not true or false: %d %s", code, b)
	}
	c.Drain()
	c = alone(t, dir)
	t.Cleanup(c.Drain)
	testutil.Until(t, "it is read back", func() bool { code, _ := call(t, c, "GET", "/v1/config", ""); return code == 200 })
	if _, b := call(t, c, "GET", "/v1/config", ""); string(b) != configText {
		t.Errorf("read back %q", b)
	}
	if code, b := call(t, c, "PUT", "/v1/config?number=1", configText+"\n"); code != 200 || number(b) != 2 {
		t.Errorf("the next: %d %s", code, b)
	}
}

// A damaged disk starts blank under another identity, and the damaged file is kept aside.
func TestDamagedDiskIsBlank(t *testing.T) {
	dir := t.TempDir()
	b := &settings.Settings{DataDir: dir}
	o, err := openDisk(b)
	if err != nil || !o.blank || o.damage != nil {
		t.Fatal(o.blank, o.damage, err)
	}
	if err := o.log.Append(o.log.Records()); err != nil {
		t.Fatal(err)
	}
	o.log.Close()
	again, err := openDisk(b)
	if err != nil || again.blank || again.damage != nil || again.self != o.self {
		t.Fatal(again.self, again.blank, again.damage, err)
	}
	again.log.Close()
	path := filepath.Join(dir, "wal")
	x, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	x[10] ^= 1
	if err := os.WriteFile(path, x, 0o644); err != nil {
		t.Fatal(err)
	}
	other, err := openDisk(b)
	if err != nil || !other.blank || other.damage == nil || other.self == o.self {
		t.Fatalf("a damaged disk: %v blank %v, %v, %v", other.self == o.self, other.blank, other.damage, err)
	}
	other.log.Close()
	if _, err := os.Stat(path + ".damaged"); err != nil {
		t.Error(err)
	}
}

// A disk that runs full is said to be full, a write is refused with its own code and nothing is written; with room
// again, writes go on.
func TestFullDiskIsRefused(t *testing.T) {
	t.Parallel()
	c := alone(t, t.TempDir())
	t.Cleanup(c.Drain)
	testutil.Until(t, "the first is taken", func() bool { code, _ := call(t, c, "PUT", "/v1/config?number=0", configText); return code == 200 })
	c.disk.mu.Lock()
	c.disk.fault = func() error { return fmt.Errorf("%w: planted", wal.ErrFull) }
	c.disk.mu.Unlock()
	if code, b := call(t, c, "PUT", "/v1/config?number=1", configText+" "); code != 502 {
		t.Errorf("the write that finds it full has an unknown outcome: %d %s", code, b)
	}
	testutil.Until(t, "it says so", func() bool {
		code, b := call(t, c, "PUT", "/v1/config?number=1", configText+" ")
		return code == 503 && bytes.Contains(b, []byte(`"code":515`))
	})
	c.disk.mu.Lock()
	c.disk.fault = nil
	c.disk.mu.Unlock()
	testutil.Until(t, "writes go on", func() bool { code, _ := call(t, c, "PUT", "/v1/config?number=1", configText+"  "); return code == 200 })
	if _, b := call(t, c, "GET", "/v1/config", ""); string(b) != configText+"  " {
		t.Errorf("read back %q", b)
	}
}

// What was acknowledged is in the audit record, which verifies.
func TestAudit(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	c := alone(t, dir)
	t.Cleanup(c.Drain)
	testutil.Until(t, "the first is taken", func() bool { code, _ := call(t, c, "PUT", "/v1/config?number=0", configText); return code == 200 })
	if code, b := call(t, c, "PUT", "/v1/config?number=0", configText); code != 409 {
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
