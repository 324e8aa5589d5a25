package router

import (
	"bytes"
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/standin"
)

// instant is a stand-in worker that answers at once, so that what is measured is the way there.
func instant(b *testing.B) string {
	j, err := standin.Open(filepath.Join(b.TempDir(), "w.jsonl"))
	if err != nil {
		b.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	w := &standin.Worker{Name: "w1", Pool: "main", Zone: "z1", Journal: j, Model: standin.Model{Knee: 64, Blocks: 64, BatchMost: 4096}}
	go func() { _ = w.Serve(ln) }()
	b.Cleanup(func() { ln.Close(); j.Close() })
	return ln.Addr().String()
}

func post(b *testing.B, c *fasthttp.HostClient, path string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.Addr + path)
	req.Header.SetMethod("POST")
	req.Header.Set("Time-Left-Ms", "2500")
	req.Header.Set("Request-Id", "x")
	req.SetBodyString(`{"prompt":"hello there","job":"j","pieces":3}`)
	if err := c.Do(req, resp); err != nil || resp.StatusCode() != 200 || !bytes.Contains(resp.Body(), []byte("seal")) {
		b.Errorf("%d %v %s", resp.StatusCode(), err, resp.Body())
	}
}

// What a router adds: the same prompts at a worker directly and by way of one router, each time on wires that callers
// hold, and with a wire for each as the router has towards workers, by one caller and by two; compare the rows of one run (docs/measurements.md).
func BenchmarkToll(b *testing.B) {
	worker := instant(b)
	v := rig(b, worker)
	for _, x := range []struct {
		name, addr, path string
		fresh            bool
	}{{"direct, held wire", worker, "/v1/generate", false}, {"direct, a wire each", worker, "/v1/generate", true}, {"by a router", v.Settings.HTTPAddr, "/chat", false}} {
		for _, callers := range []int{1, 2} {
			b.Run(fmt.Sprintf("%s/callers=%d", x.name, callers), func(b *testing.B) {
				c := &fasthttp.HostClient{Addr: x.addr, MaxConns: 64, MaxIdemponentCallAttempts: 1}
				began := time.Now()
				done := make(chan struct{})
				for range callers {
					go func() {
						for range b.N / callers {
							if post(b, c, x.path); x.fresh {
								c.CloseIdleConnections()
							}
						}
						done <- struct{}{}
					}()
				}
				for range callers {
					<-done
				}
				b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "req/s")
			})
		}
	}
}
