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

// door is a controller as a drill sees it: a whole fleet of two zones, whose answers to changes a test plans.
type door struct {
	mu     sync.Mutex
	out    bool
	num    int
	refuse func(out bool) bool // whether a change is refused; it is made all the same when it answers nothing
}

func (d *door) serve(at string, ctx *fasthttp.RequestCtx) {
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
		d.out, d.num = out, d.num+1
		if d.refuse != nil && d.refuse(out) {
			ctx.SetStatusCode(400)
			return
		}
		fmt.Fprintf(ctx, `{"number":%d}`, d.num)
	case strings.HasPrefix(path, "/v1/zones/"):
		ctx.Response.Header.Set("Number", fmt.Sprint(d.num))
		fmt.Fprintf(ctx, `{"evacuated":%v}`, d.out && path == "/v1/zones/z2")
	default:
		ctx.SetStatusCode(503)
	}
}

// A drill that is interrupted, or fails half-way with the evacuation standing, gives the zone back; where that fails
// too it says loudly what stands.
func TestDrillGivesBack(t *testing.T) {
	for name, x := range map[string]struct {
		refuse    func(bool) bool
		interrupt bool
		out       bool
		says      string
	}{
		"interrupted":           {interrupt: true, says: "given back"},
		"an unknown outcome":    {refuse: func(out bool) bool { return out }, says: "given back"},
		"it can't be withdrawn": {refuse: func(out bool) bool { return !out }, interrupt: true, says: "MAY STILL BE EVACUATED"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			d := &door{refuse: x.refuse}
			s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { d.serve(ln.Addr().String(), ctx) }}
			served := make(chan struct{})
			t.Cleanup(func() { _ = s.Shutdown(); <-served })
			go func() { _ = s.Serve(ln); close(served) }()
			var say bytes.Buffer
			ctx, stop := context.WithCancel(context.Background())
			if x.interrupt {
				stop()
			}
			defer stop()
			_, err = (&Drill{ControllerAddr: ln.Addr().String(), Zone: "z2", Method: "evacuate", Duration: time.Minute, Output: &say}).Run(ctx)
			if err == nil || !strings.Contains(say.String(), x.says) {
				t.Errorf("%v, said %q", err, say.String())
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			if name != "it can't be withdrawn" && (d.out || d.num < 2) {
				t.Errorf("the zone stands evacuated: %v, after %d changes", d.out, d.num)
			}
		})
	}
}
