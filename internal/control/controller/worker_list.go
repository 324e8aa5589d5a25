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
	"seamshunt/internal/shield"
)

// allPools stands for one list of all services' workers, which a book reads.
const allPools = "*"

// longAgo is the age of a worker that its list says is warm.
const longAgo = time.Hour

// list asks for a pool's workers. A node that can't reach the platform at all gives the duty up.
func (c *Controller) list(pool string) ([]config.Worker, error) {
	if c.adapter != nil && pool == allPools {
		return c.listAll()
	}
	code, b, _, err := transport.HTTPRequest("GET", c.Settings.Platform, "/v1/pools/"+pool+"/workers", nil, nil, time.Second)
	if err != nil {
		c.yield()
		return nil, err
	}
	if code != 200 {
		return nil, fmt.Errorf("status %d", code)
	}
	l, err := config.ParseWorkers(b)
	if err == nil && len(l) == 0 {
		err = errors.New("an empty list is not believed")
	}
	return l, err
}

// listAll asks as the book wants it. Such a list says how much longer a worker is cold, not how old it is: its age comes
// from how long its service's workers are cold, as the configuration has it (design 13).
func (c *Controller) listAll() ([]config.Worker, error) {
	away := false
	l, err := c.adapter.Workers(func(path string) (int, []byte, error) {
		code, b, err := c.kept.get(c.Settings.Platform, path)
		away = away || err != nil
		return code, b, err
	})
	if away {
		c.yield()
	}
	var warm map[string]time.Duration
	for i := range l {
		w := &l[i]
		if w.Age = longAgo; w.WarmingUpFor > 0 {
			if warm == nil {
				num, data := c.heardOf(keyConfig)
				_, warm = c.versionOf(num, data)
			}
			w.Age = max(0, warm[w.Service]-w.WarmingUpFor)
		}
	}
	return l, err
}

// kept is a wire to the platform that is held between questions, since each new one costs.
type kept struct {
	mu sync.Mutex
	cl *fasthttp.HostClient
}

const askFor = time.Second

// get asks for one path. A held wire that the platform has closed meanwhile shows so by ending before an answer: then
// the question is put once more, on a new one.
func (k *kept) get(addr, path string) (int, []byte, error) {
	k.mu.Lock()
	if k.cl == nil {
		k.cl = &fasthttp.HostClient{Addr: addr, MaxConns: 4, MaxIdleConnDuration: 30 * time.Second, MaxIdemponentCallAttempts: 2, MaxResponseBodySize: 16 << 20,
			Dial: func(a string) (net.Conn, error) { return shield.Dial(a, askFor) },
			RetryIfErr: func(_ *fasthttp.Request, n int, err error) (bool, bool) {
				return false, n < 2 && (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))
			}}
	}
	k.mu.Unlock()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	if err := k.cl.DoTimeout(req, resp, askFor); err != nil {
		return 0, nil, err
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}
