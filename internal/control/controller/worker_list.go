package controller

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/cluster/transport"
	"seamshunt/internal/config"
	"seamshunt/internal/partition"
)

// allPools is the pool name under which an adapter lists the workers of all services at once.
const allPools = "*"

// warmWorkerAge is the age given to a worker whose list reports no remaining warm-up time.
const warmWorkerAge = time.Hour

// fetchWorkers requests a pool's workers from the platform. A node that can't reach the platform gives up the platform
// lease.
func (c *Controller) fetchWorkers(pool string) ([]config.Worker, error) {
	if c.adapter != nil && pool == allPools {
		return c.fetchAllWorkers()
	}
	code, body, _, err := transport.HTTPRequest("GET", c.Settings.Platform, "/v1/pools/"+pool+"/workers", nil, nil, time.Second)
	if err != nil {
		c.yieldLease()
		return nil, err
	}
	if code != 200 {
		return nil, fmt.Errorf("status %d", code)
	}
	workers, err := config.ParseWorkers(body)
	if err == nil && len(workers) == 0 {
		err = errors.New("an empty list is not believed")
	}
	return workers, err
}

// fetchAllWorkers requests all workers through the adapter. Such a list has the remaining warm-up time of a worker, not
// its age: the age is computed from the configured warm-up time of the worker's service (docs/design.md, section 13).
func (c *Controller) fetchAllWorkers() ([]config.Worker, error) {
	unreachable := false
	workers, err := c.adapter.Workers(func(path string) (int, []byte, error) {
		code, body, err := c.platform.get(c.Settings.Platform, path)
		unreachable = unreachable || err != nil
		return code, body, err
	})
	if unreachable {
		c.yieldLease()
	}
	var warmup map[string]time.Duration
	for i := range workers {
		w := &workers[i]
		if w.Age = warmWorkerAge; w.WarmingUpFor > 0 {
			if warmup == nil {
				storedVersion, data := c.knownValue(keyConfig)
				_, warmup = c.configDocVersion(storedVersion, data)
			}
			w.Age = max(0, warmup[w.Service]-w.WarmingUpFor)
		}
	}
	return workers, err
}

// platformClient keeps connections to the platform open between polls, to save the cost of new ones.
type platformClient struct {
	mu   sync.Mutex
	http *fasthttp.HostClient
}

const platformTimeout = time.Second

// get requests one path. If the platform has closed an idle connection, that connection ends before an answer; the
// request is then retried once on a new connection.
func (p *platformClient) get(addr, path string) (int, []byte, error) {
	p.mu.Lock()
	if p.http == nil {
		p.http = &fasthttp.HostClient{Addr: addr, MaxConns: 4, MaxIdleConnDuration: 30 * time.Second, MaxIdemponentCallAttempts: 2, MaxResponseBodySize: 16 << 20,
			Dial: func(a string) (net.Conn, error) { return partition.Dial(a, platformTimeout) },
			RetryIfErr: func(_ *fasthttp.Request, n int, err error) (bool, bool) {
				return false, n < 2 && (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))
			}}
	}
	p.mu.Unlock()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	if err := p.http.DoTimeout(req, resp, platformTimeout); err != nil {
		return 0, nil, err
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}
