package transport

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/partition"
)

// HTTPRequest sends one HTTP request to an address, on a connection of its own and with fasthttp's retries turned off. It
// returns the status, the body and the Number header of the response.
func HTTPRequest(method, addr, path string, body []byte, header map[string]string,
	timeout time.Duration) (int, []byte, string, error) {
	client := &fasthttp.HostClient{Addr: addr, MaxIdemponentCallAttempts: 1,
		Dial:       func(a string) (net.Conn, error) { return partition.Dial(a, timeout) },
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
	defer client.CloseIdleConnections()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(method)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	req.SetBody(body)
	if err := client.DoTimeout(req, resp, timeout); err != nil {
		return 0, nil, "", err
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), string(resp.Header.Peek("Number")), nil
}
