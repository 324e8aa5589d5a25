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

// configureForAdapter configures the server to accept clients' requests in the adapter's protocol and to relay them byte
// for byte.
func (v *Router) configureForAdapter() {
	server := v.server
	server.Handler = v.handleRelay
	server.ReadTimeout, server.IdleTimeout = 30*time.Second, 60*time.Second
	server.ReadBufferSize = 20 << 10
	server.NoDefaultServerHeader = true
	server.NoDefaultContentType = true
	server.CloseOnShutdown = true
	server.DisablePreParseMultipartForm = true
	server.ReduceMemoryUsage = true
	v.Tasks.Every(time.Second, func(units.Time) { v.pool.CloseExpired() })
}

// acceptableRequest reports whether a request may be relayed. Requests whose end two parsers could see at different places
// (request smuggling) and those of an unsupported version or method are not acceptable.
func acceptableRequest(h *fasthttp.RequestHeader) bool {
	if string(h.Protocol()) != "HTTP/1.1" {
		return false // HTTP/1.0 has no chunked encoding, so a broken answer would look complete
	}
	switch string(h.Method()) {
	case "POST", "GET", "HEAD", "PUT", "PATCH", "DELETE", "OPTIONS":
	default:
		return false
	}
	length, chunked := false, false
	for l := range bytes.Lines(h.RawHeaders()) {
		switch l[0] | 0x20 {
		case ' ', '\t' | 0x20:
			return false // a folded header line
		case 'c':
			length = length || isField(l, fasthttp.HeaderContentLength)
		case 't':
			chunked = chunked || isField(l, fasthttp.HeaderTransferEncoding)
		}
	}
	return !length || !chunked
}

// isField reports whether a header line is that of field.
func isField(line []byte, field string) bool {
	return len(line) > len(field) && line[len(field)] == ':' && strings.EqualFold(string(line[:len(field)]), field)
}

// serveReadiness serves readiness probes, status and metrics at their own address, if there is one.
func (v *Router) serveReadiness() error {
	if v.Settings.ReadyAddr == "" {
		return nil
	}
	ln, err := listener.Listen(v.Settings.ReadyAddr)
	if err != nil {
		return fmt.Errorf("router: %w", err)
	}
	v.readinessServer = &fasthttp.Server{Handler: v.handleReadiness, Name: "router", NoDefaultDate: true, Logger: discardLogger{},
		ReduceMemoryUsage: true}
	v.Serve("readiness", ln, v.readinessServer.Serve)
	return nil
}

func (v *Router) handleReadiness(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/status":
		v.status(ctx)
	case "/metrics":
		v.metrics(ctx)
	case v.Adapter.ReadyPath:
		if !v.ready.Load() || v.draining() || v.isolated() {
			ctx.SetStatusCode(503)
			return
		}
		ctx.SetBodyString("ready\n")
	default:
		ctx.SetStatusCode(404)
	}
}

// parseConfig parses a configuration in the adapter's format or the native one.
func (v *Router) parseConfig(b []byte) (*config.Config, []*resultcode.Fault) {
	if v.Adapter != nil {
		return v.Adapter.Config(b)
	}
	return config.Parse(b)
}
