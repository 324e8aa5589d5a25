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

// body reads an answer's body as it comes. Only one that is properly ended gives io.EOF (design 8).
type body struct {
	left   int // bytes still due; -1 for chunks, less when nothing tells the end
	chunks io.Reader
	tail   bool // the last chunk has come; what is behind it is due
	err    error
}

// ended says whether the whole body was read.
func (y *body) ended() bool { return y.left == 0 || y.err == io.EOF }

const tailMost = 32 // lines behind the last chunk

func (y *body) read(r *bufio.Reader, b []byte) (n int, err error) {
	if y.err != nil {
		return 0, y.err
	}
	switch {
	case y.left == 0:
		err = io.EOF
	case y.left > 0:
		n, err = r.Read(b[:min(len(b), y.left)])
		if y.left -= n; err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
	case y.left < -1:
		err = errors.New("upstream: a body whose end can't be known")
	default:
		n, err = y.chunk(r, b)
	}
	if n > 0 && err == io.EOF {
		err = nil
	}
	y.err = err
	return n, err
}

func (y *body) chunk(r *bufio.Reader, b []byte) (n int, err error) {
	if !y.tail {
		if y.chunks == nil {
			y.chunks = httputil.NewChunkedReader(r)
		}
		n, err = y.chunks.Read(b)
		if err != io.EOF {
			return n, err
		}
		y.tail = true
		if n > 0 {
			return n, nil // the tail may not be here yet
		}
	}
	for range tailMost {
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
	return 0, fmt.Errorf("upstream: more than %d lines behind the last chunk", tailMost)
}

// Read gives the body's bytes as they come. io.EOF comes only behind a body that is properly ended; any other error
// means that it broke.
func (x *Exchange) Read(b []byte) (int, error) {
	if x.r == nil {
		return 0, errors.New("upstream: no answer to read")
	}
	n, err := x.body.read(x.r, b)
	if err != nil && err != io.EOF && x.c.err != nil {
		err = fmt.Errorf("upstream: a broken answer: %w", x.c.err)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		x.body.err = err
	}
	return n, err
}

// rest is the body for those who want a reader of it.
func (x *Exchange) rest() io.Reader { return reader(x.Read) }

type reader func([]byte) (int, error)

func (r reader) Read(b []byte) (int, error) { return r(b) }

// Length gives the length of the body, -1 when it comes in chunks.
func (x *Exchange) Length() int { return x.length }

// End gives the connection back, if the answer allows it, and releases the head. It must come before the caller's own end.
func (x *Exchange) End() {
	if x.done {
		return
	}
	x.done = true
	if x.c != nil && x.reusable() && x.c.release() {
		x.p.put(x.c, x.until())
		x.c = nil
	}
	x.shut()
	fasthttp.ReleaseResponse(x.Response)
	x.Response = nil
}

// reusable says whether the answer leaves the connection fit for another order.
func (x *Exchange) reusable() bool {
	return x.r != nil && x.keep && x.body.ended() && x.r.Size() == bufSize && x.r.Buffered() == 0
}

// until gives how long the connection may stay idle by the answer's Keep-Alive.
func (x *Exchange) until() time.Time {
	d := idleFor
	for f := range strings.SplitSeq(string(x.Response.Header.Peek("Keep-Alive")), ",") {
		if k, v, _ := strings.Cut(strings.TrimSpace(f), "="); strings.EqualFold(k, "timeout") {
			if n, err := strconv.Atoi(strings.Trim(v, `" `)); err == nil && n < 3600 {
				d = max(time.Duration(n-1)*time.Second, idleLeast)
			}
		}
	}
	return x.c.at.Add(d)
}
