package localfleet

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// fakeController answers a drill as the controller of a healthy fleet with two zones would. A test chooses which changes it
// refuses.
type fakeController struct {
	mu        sync.Mutex
	evacuated bool
	version   int
	refuse    func(out bool) bool // whether a change is answered with an error; it is made all the same
}

func (d *fakeController) serve(at string, ctx *fasthttp.RequestCtx) {
	d.mu.Lock()
	defer d.mu.Unlock()
	member := func(node, role, zone string) string {
		return fmt.Sprintf(`{"node":%q,"role":%q,"zone":%q,"addr":%q,"web":%q,"state":"alive","ready":true}`, node, role, zone, node, at)
	}
	switch path := string(ctx.Path()); {
	case path == "/status":
		fmt.Fprintf(ctx, `{"members":[%s,%s,%s],"voters":["c"]}`, member("c", "controller", "z1"), member("a", "router", "z1"), member("b", "router", "z2"))
	case path == "/v1/config":
		ctx.Response.Header.Set("Number", "1")
		ctx.SetBodyString(`{"services":[{"name":"a","pool":"main","cap":1}],"promises":[{"name":"p","first_ms":1,"deadline_ms":100}],` +
			`"layout":"mapping m { when path = \"/m\" to a promise p repeat }"}`)
	case path == "/v1/zones/z2" && ctx.IsPut():
		out := bytes.Contains(ctx.PostBody(), []byte("true"))
		d.evacuated, d.version = out, d.version+1
		if d.refuse != nil && d.refuse(out) {
			ctx.SetStatusCode(400)
			return
		}
		fmt.Fprintf(ctx, `{"number":%d}`, d.version)
	case strings.HasPrefix(path, "/v1/zones/"):
		ctx.Response.Header.Set("Number", fmt.Sprint(d.version))
		fmt.Fprintf(ctx, `{"evacuated":%v}`, d.evacuated && path == "/v1/zones/z2")
	default:
		ctx.SetStatusCode(503)
	}
}

// A drill restores the zone if it is interrupted or fails after the evacuation. If that fails too, it prints the state in
// which it may have left the zone.
func TestDrillRestoresZone(t *testing.T) {
	for name, x := range map[string]struct {
		refuse    func(bool) bool
		interrupt bool
		out       bool
		output    string
	}{
		"interrupted":     {interrupt: true, output: "given back"},
		"unknown outcome": {refuse: func(out bool) bool { return out }, output: "given back"},
		"restoring fails": {refuse: func(out bool) bool { return !out }, interrupt: true, output: "MAY STILL BE EVACUATED"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			d := &fakeController{refuse: x.refuse}
			s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { d.serve(ln.Addr().String(), ctx) }}
			served := make(chan struct{})
			t.Cleanup(func() { _ = s.Shutdown(); <-served })
			go func() { _ = s.Serve(ln); close(served) }()
			var out bytes.Buffer
			ctx, stop := context.WithCancel(context.Background())
			if x.interrupt {
				stop()
			}
			defer stop()
			_, err = (&Drill{ControllerAddr: ln.Addr().String(), Zone: "z2", Method: "evacuate", Duration: time.Minute, Output: &out}).Run(ctx)
			if err == nil || !strings.Contains(out.String(), x.output) {
				t.Errorf("%v, printed %q", err, out.String())
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			if name != "restoring fails" && (d.evacuated || d.version < 2) {
				t.Errorf("the zone is evacuated: %v, after %d changes", d.evacuated, d.version)
			}
		})
	}
}
