package transport

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/shield"
)

// HTTPRequest asks an address once, on a wire of its own, with fasthttp's own retries turned off. The third result is
// the answer's Number header.
func HTTPRequest(method, addr, path string, body []byte, head map[string]string, limit time.Duration) (int, []byte, string, error) {
	cl := &fasthttp.HostClient{Addr: addr, MaxIdemponentCallAttempts: 1,
		Dial:       func(a string) (net.Conn, error) { return shield.Dial(a, limit) },
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
	defer cl.CloseIdleConnections()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(method)
	for k, v := range head {
		req.Header.Set(k, v)
	}
	req.SetBody(body)
	if err := cl.DoTimeout(req, resp, limit); err != nil {
		return 0, nil, "", err
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), string(resp.Header.Peek("Number")), nil
}
