package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/adapter"
)

const (
	bufSize     = 4096
	headMost    = 1 << 16
	surplusMost = 3
	interimMost = 8
	smallMost   = 4096 // of a refusal's body
	drainFor    = 50 * time.Millisecond
)

// Dispatch is one request to one worker.
type Dispatch struct {
	Worker, Addr string
	ID           string            // the value of Names.Try
	Request      *fasthttp.Request // complete; only its length is set here, and the path is that of its header
	Deadline     time.Time         // the latest end
	SendOnce     bool              // not over a connection idle for longer than FreshFor: it may not be sent twice
	MaxConns     int               // connections that this node may have open to this worker; 0 for any
}

// Exchange is one request and its answer. Kind is Piece when a head came and Read gives the body; else NotSent,
// NotRun, Moved or Unknown. A refusal's body, if small, is in Resp.
type Exchange struct {
	Outcome     Outcome
	Err         error
	Unreachable bool // nobody answers an attempt to connect
	Reused      bool
	Response    *fasthttp.Response // the head; valid until End

	p      *Pool
	o      Dispatch
	c      *conn
	r      *bufio.Reader
	body   body
	length int
	keep   bool // the worker allows that the connection is used again
	early  bool // the worker closed before the whole request was written; an answer may lie there all the same
	done   bool
}

// Do sends one request for a caller and awaits the head of its answer. End must follow. Once nobody waits any more nothing is
// sent, and what is awaited ends with the caller's reason.
func (p *Pool) Do(caller Caller, o *Dispatch) *Exchange {
	x := &Exchange{p: p, o: *o, Response: fasthttp.AcquireResponse()}
	defer func() { x.o.Request = nil }()
	for again := false; ; again = true {
		var err error
		if x.c, x.Reused, err = p.take(caller, o, again); err != nil {
			x.Unreachable = unreachable(err)
			return x.fail(NotSent, err)
		}
		if err = caller.Check(); err != nil {
			p.Stats.Abandoned.Add(1)
			p.put(x.c, x.c.until)
			x.c = nil
			return x.fail(NotSent, err)
		}
		x.c.begin(caller, o)
		if err = x.send(); err == nil {
			break
		}
		sent := x.c.sent > 0
		if sent && refusedToRead(err) {
			x.early = true
			break
		}
		if retry := !sent && x.Reused && !again; !retry {
			if sent {
				return x.fail(Unknown, err)
			}
			return x.fail(NotSent, err)
		}
		x.shut()
	}
	if x.early {
		x.c.due = earlier(x.c.due, time.Now().Add(drainFor))
		x.c.readUntil(x.c.due)
	}
	x.r = readers.Get().(*bufio.Reader)
	x.r.Reset(x.c)
	if err := x.await(p.n); err != nil {
		if x.c.err != nil {
			err = x.c.err // what fasthttp makes of it says less
		}
		return x.fail(Unknown, err)
	}
	if x.Outcome != Partial {
		x.drain()
	}
	return x
}

// fail ends an exchange without an answer.
func (x *Exchange) fail(k Outcome, err error) *Exchange {
	x.Outcome, x.Err = k, err
	x.shut()
	return x
}

// shut closes the connection, if there is one, and gives the buffer back.
func (x *Exchange) shut() {
	if x.r != nil && x.r.Size() == bufSize {
		x.r.Reset(nil)
		readers.Put(x.r)
	}
	x.r = nil
	if x.c != nil {
		x.c.release()
		x.p.drop(x.c)
		x.c = nil
	}
}

// await reads heads until one is this request's.
func (x *Exchange) await(n adapter.HeaderNames) error {
	surplus, interim := 0, 0
	for {
		if err := x.head(); err != nil {
			return err
		}
		h := &x.Response.Header
		s := h.StatusCode()
		if s < 200 {
			if interim++; interim > interimMost || s == fasthttp.StatusSwitchingProtocols {
				return fmt.Errorf("upstream: an interim answer %d too many", s)
			}
			continue
		}
		ids := h.PeekAll(n.AttemptID)
		if len(ids) > 1 {
			return fmt.Errorf("upstream: an answer of %d ids", len(ids))
		}
		x.body = body{left: h.ContentLength()}
		if s == fasthttp.StatusNoContent || s == fasthttp.StatusNotModified {
			x.body.left = 0
		}
		if len(ids) == 1 && string(ids[0]) != x.o.ID {
			if surplus++; surplus > surplusMost {
				return fmt.Errorf("upstream: %d surplus answers, the last for %q", surplus, ids[0])
			}
			if _, err := io.Copy(io.Discard, x.rest()); err != nil {
				return err
			}
			if h.ConnectionClose() {
				return fmt.Errorf("upstream: closed behind an answer for %q", ids[0])
			}
			continue
		}
		return x.judge(n, s, len(ids) == 1)
	}
}

// judge says what an answer means that is no other request's. A success without the id is never passed on.
func (x *Exchange) judge(n adapter.HeaderNames, s int, named bool) error {
	h := &x.Response.Header
	head := x.o.Request.Header.IsHead()
	if head {
		x.body.left = 0
	}
	x.length = x.body.left
	x.keep = !h.ConnectionClose() && !head && !x.early // a surplus answer to HEAD could not be measured
	switch {
	case !named && x.Reused: // it may be the surplus refusal of an earlier request
		return fmt.Errorf("upstream: an answer %d without an id on a connection that others used", s)
	case s == fasthttp.StatusMisdirectedRequest:
		x.Outcome, x.keep = WorkerReplaced, false
		x.Err = errors.New("upstream: another worker is there now")
	case (s == 400 || s == 429 || s == 503) && len(h.Peek(n.NotRun)) > 0:
		x.Outcome = NotRun
		x.Err = fmt.Errorf("upstream: worker refused with %d", s)
	case !named:
		return fmt.Errorf("upstream: an answer %d without an id", s)
	case x.body.left < -1:
		return fmt.Errorf("upstream: an answer %d whose end can't be known", s)
	}
	return nil
}

// head reads one head; what can't become one is known at its first bytes.
func (x *Exchange) head() error {
	const mark = "HTTP/1."
	for i := range len(mark) {
		b, err := x.r.Peek(i + 1)
		if err != nil {
			return err
		}
		if b[i] != mark[i] {
			return fmt.Errorf("upstream: bytes that are no answer: %q", b)
		}
	}
	var small *fasthttp.ErrSmallBuffer
	err := x.Response.Header.Read(x.r)
	if errors.As(err, &small) {
		x.r = bufio.NewReaderSize(x.r, headMost)
		err = x.Response.Header.Read(x.r)
	}
	return err
}

// drain takes a refusal's body, so that the connection can be used again; it waits for little.
func (x *Exchange) drain() {
	if x.length < -1 || x.length > smallMost {
		return
	}
	x.c.readUntil(earlier(x.c.due, time.Now().Add(drainFor)))
	b, err := io.ReadAll(io.LimitReader(x.rest(), smallMost+1))
	if err == nil && x.body.ended() {
		x.Response.SetBody(b)
	}
}
