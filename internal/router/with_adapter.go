package router

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/config"
	"seamshunt/internal/listener"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/units"
)

// useAdapter has the server take clients' requests in the adapter's words, byte for byte.
func (v *Router) useAdapter() {
	w := v.server
	w.Handler = v.relay
	w.ReadTimeout, w.IdleTimeout = 30*time.Second, 60*time.Second
	w.ReadBufferSize = 20 << 10
	w.NoDefaultServerHeader = true
	w.NoDefaultContentType = true
	w.CloseOnShutdown = true
	w.DisablePreParseMultipartForm = true
	w.ReduceMemoryUsage = true
	v.Tasks.Every(time.Second, func(units.Time) { v.pool.CloseExpired() })
}

// proper says whether a request may be passed on: none whose end two readers could see at different places, none of a
// version or method that this node doesn't know.
func proper(h *fasthttp.RequestHeader) bool {
	if string(h.Protocol()) != "HTTP/1.1" {
		return false // HTTP/1.0 has no chunks: a broken answer would look whole
	}
	switch string(h.Method()) {
	case "POST", "GET", "HEAD", "PUT", "PATCH", "DELETE", "OPTIONS":
	default:
		return false
	}
	length, chunks := false, false
	for l := range bytes.Lines(h.RawHeaders()) {
		switch l[0] | 0x20 {
		case ' ', '\t' | 0x20:
			return false // a field that goes on in the next line
		case 'c':
			length = length || named(l, fasthttp.HeaderContentLength)
		case 't':
			chunks = chunks || named(l, fasthttp.HeaderTransferEncoding)
		}
	}
	return !length || !chunks
}

func named(line []byte, field string) bool {
	return len(line) > len(field) && line[len(field)] == ':' && strings.EqualFold(string(line[:len(field)]), field)
}

// serveReadiness answers at an address of its own whether this node is ready.
func (v *Router) serveReadiness() error {
	if v.Settings.ReadyAddr == "" {
		return nil
	}
	ln, err := listener.Listen(v.Settings.ReadyAddr)
	if err != nil {
		return fmt.Errorf("router: %w", err)
	}
	v.readinessServer = &fasthttp.Server{Handler: v.readiness, Name: "router", NoDefaultDate: true, Logger: quiet{}, ReduceMemoryUsage: true}
	v.Serve("readiness", ln, v.readinessServer.Serve)
	return nil
}

func (v *Router) readiness(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/status":
		v.status(ctx)
	case "/metrics":
		v.metrics(ctx)
	case v.Adapter.ReadyPath:
		if !v.ready.Load() || v.leaving() || v.alone() {
			ctx.SetStatusCode(503)
			return
		}
		ctx.SetBodyString("ready\n")
	default:
		ctx.SetStatusCode(404)
	}
}

// compile reads a configuration in whichever words it was given.
func (v *Router) compile(b []byte) (*config.Config, []*resultcode.Fault) {
	if v.Adapter != nil {
		return v.Adapter.Config(b)
	}
	return config.Parse(b)
}
