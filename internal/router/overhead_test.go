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

// startInstantWorker starts a stand-in worker that answers at once, so that the benchmark measures only the path to it.
func startInstantWorker(b *testing.B) string {
	journal, err := standin.OpenJournal(filepath.Join(b.TempDir(), "w.jsonl"))
	if err != nil {
		b.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	worker := &standin.Worker{Name: "w1", Pool: "main", Zone: "z1", Journal: journal, Model: standin.LoadModel{Knee: 64, CacheBlocks: 64, MaxBatch: 4096}}
	go func() { _ = worker.Serve(ln) }()
	b.Cleanup(func() { ln.Close(); journal.Close() })
	return ln.Addr().String()
}

func benchmarkPost(b *testing.B, client *fasthttp.HostClient, path string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + client.Addr + path)
	req.Header.SetMethod("POST")
	req.Header.Set("Time-Left-Ms", "2500")
	req.Header.Set("Request-Id", "x")
	req.SetBodyString(`{"prompt":"hello there","job":"j","pieces":3}`)
	if err := client.Do(req, resp); err != nil || resp.StatusCode() != 200 || !bytes.Contains(resp.Body(), []byte("seal")) {
		b.Errorf("%d %v %s", resp.StatusCode(), err, resp.Body())
	}
}

// Measures the overhead of a router: the same prompts are sent to a worker directly and through a router, from one client
// and from two. The direct ones are sent on kept connections and, as the router does towards workers, on a new connection
// each. Only the rows of one run are comparable (docs/measurements.md).
func BenchmarkRouterOverhead(b *testing.B) {
	worker := startInstantWorker(b)
	v := newTestRouter(b, worker)
	for _, x := range []struct {
		name, addr, path string
		fresh            bool
	}{{"direct, held wire", worker, "/v1/generate", false}, {"direct, a wire each", worker, "/v1/generate", true}, {"by a router", v.Settings.HTTPAddr, "/chat", false}} {
		for _, clients := range []int{1, 2} {
			b.Run(fmt.Sprintf("%s/callers=%d", x.name, clients), func(b *testing.B) {
				c := &fasthttp.HostClient{Addr: x.addr, MaxConns: 64, MaxIdemponentCallAttempts: 1}
				startedAt := time.Now()
				done := make(chan struct{})
				for range clients {
					go func() {
						for range b.N / clients {
							if benchmarkPost(b, c, x.path); x.fresh {
								c.CloseIdleConnections()
							}
						}
						done <- struct{}{}
					}()
				}
				for range clients {
					<-done
				}
				b.ReportMetric(float64(b.N)/time.Since(startedAt).Seconds(), "req/s")
			})
		}
	}
}
