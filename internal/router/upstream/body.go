package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// body reads an answer's body as it arrives. It returns io.EOF only if the body ended properly (docs/design.md, section 8).
type body struct {
	remaining   int // bytes still to come; -1 for chunked encoding, lower if nothing determines the end
	chunkReader io.Reader
	trailer     bool // the last chunk was read; the trailer follows
	err         error
}

// complete reports whether the whole body was read.
func (y *body) complete() bool { return y.remaining == 0 || y.err == io.EOF }

const maxTrailerLines = 32 // lines after the last chunk

func (y *body) read(r *bufio.Reader, b []byte) (n int, err error) {
	if y.err != nil {
		return 0, y.err
	}
	switch {
	case y.remaining == 0:
		err = io.EOF
	case y.remaining > 0:
		n, err = r.Read(b[:min(len(b), y.remaining)])
		if y.remaining -= n; err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
	case y.remaining < -1:
		err = errors.New("upstream: body without a length or chunked encoding")
	default:
		n, err = y.readChunked(r, b)
	}
	if n > 0 && err == io.EOF {
		err = nil
	}
	y.err = err
	return n, err
}

func (y *body) readChunked(r *bufio.Reader, b []byte) (n int, err error) {
	if !y.trailer {
		if y.chunkReader == nil {
			y.chunkReader = httputil.NewChunkedReader(r)
		}
		n, err = y.chunkReader.Read(b)
		if err != io.EOF {
			return n, err
		}
		y.trailer = true
		if n > 0 {
			return n, nil // the trailer may not have arrived yet
		}
	}
	for range maxTrailerLines {
		l, err := r.ReadSlice('\n')
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, err
		}
		if len(l) == 2 && l[0] == '\r' {
			return 0, io.EOF
		}
	}
	return 0, fmt.Errorf("upstream: more than %d lines after the last chunk", maxTrailerLines)
}

// Read returns the body's bytes as they arrive. It returns io.EOF only after a body that ended properly; any other error
// means that the body is incomplete.
func (x *Exchange) Read(b []byte) (int, error) {
	if x.reader == nil {
		return 0, errors.New("upstream: no answer to read")
	}
	n, err := x.body.read(x.reader, b)
	if err != nil && err != io.EOF && x.conn.readErr != nil {
		err = fmt.Errorf("upstream: answer broke off: %w", x.conn.readErr)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		x.body.err = err
	}
	return n, err
}

// bodyReader returns a reader of the body.
func (x *Exchange) bodyReader() io.Reader { return readerFunc(x.Read) }

type readerFunc func([]byte) (int, error)

func (r readerFunc) Read(b []byte) (int, error) { return r(b) }

// Length returns the length of the body, or -1 for chunked encoding.
func (x *Exchange) Length() int { return x.length }

// End puts the connection back into the pool, if the answer allows it, and releases the header. It must be called before the
// caller's context is released.
func (x *Exchange) End() {
	if x.ended {
		return
	}
	x.ended = true
	if x.conn != nil && x.connReusable() && x.conn.releaseCaller() {
		x.pool.putBack(x.conn, x.idleDeadline())
		x.conn = nil
	}
	x.closeConn()
	fasthttp.ReleaseResponse(x.Response)
	x.Response = nil
}

// connReusable reports whether the connection can be reused after this answer.
func (x *Exchange) connReusable() bool {
	return x.reader != nil && x.keepAlive && x.body.complete() && x.reader.Size() == bufferSize && x.reader.Buffered() == 0
}

// idleDeadline returns until when the connection may stay idle according to the answer's Keep-Alive.
func (x *Exchange) idleDeadline() time.Time {
	d := defaultIdleTime
	for f := range strings.SplitSeq(string(x.Response.Header.Peek("Keep-Alive")), ",") {
		if k, v, _ := strings.Cut(strings.TrimSpace(f), "="); strings.EqualFold(k, "timeout") {
			if n, err := strconv.Atoi(strings.Trim(v, `" `)); err == nil && n < 3600 {
				d = max(time.Duration(n-1)*time.Second, minIdleTime)
			}
		}
	}
	return x.conn.lastReadAt.Add(d)
}
