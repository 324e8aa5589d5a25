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
	bufferSize        = 4096
	maxHeaderBytes    = 1 << 16
	maxSurplusAnswers = 3    // answers to other requests before this request's answer
	maxInterimAnswers = 8    // answers of status 1xx
	maxRefusalBytes   = 4096 // of a refusal's body
	drainTimeout      = 50 * time.Millisecond
)

// Dispatch describes one request to one worker.
type Dispatch struct {
	Worker, Addr string
	ID           string            // the value of Names.Try
	Request      *fasthttp.Request // complete except for its Content-Length; the path is that of its header
	Deadline     time.Time         // for the whole exchange
	SendOnce     bool              // must not be sent twice: no connection idle for longer than SendOnceMaxIdle is used
	MaxConns     int               // limit of this router's open connections to the worker; 0 for none
}

// Exchange is one request and its answer. The outcome is Partial if a header came and Read returns the body; otherwise
// NotSent, NotRun, WorkerReplaced or Unknown. A refusal's body, if small, is in Response.
type Exchange struct {
	Outcome     Outcome
	Err         error
	Unreachable bool // the worker accepts no connection
	Reused      bool
	Response    *fasthttp.Response // the header; valid until End

	pool        *Pool
	dispatch    Dispatch
	conn        *conn
	reader      *bufio.Reader
	body        body
	length      int
	keepAlive   bool // the worker allows reuse of the connection
	closedEarly bool // the worker closed before the whole request was written; there may be an answer nevertheless
	ended       bool
}

// Do sends one request for a caller and waits for the header of its answer. End must be called afterwards. Once the caller
// no longer waits, nothing is sent, and a pending wait ends with the caller's reason.
func (p *Pool) Do(caller Caller, dispatch *Dispatch) *Exchange {
	x := &Exchange{pool: p, dispatch: *dispatch, Response: fasthttp.AcquireResponse()}
	defer func() { x.dispatch.Request = nil }()
	for redial := false; ; redial = true {
		var err error
		if x.conn, x.Reused, err = p.acquire(caller, dispatch, redial); err != nil {
			x.Unreachable = unreachable(err)
			return x.fail(NotSent, err)
		}
		if err = caller.Check(); err != nil {
			p.Stats.Abandoned.Add(1)
			p.putBack(x.conn, x.conn.idleUntil)
			x.conn = nil
			return x.fail(NotSent, err)
		}
		x.conn.startDispatch(caller, dispatch)
		if err = x.send(); err == nil {
			break
		}
		sent := x.conn.bytesSent > 0
		if sent && closedByWorker(err) {
			x.closedEarly = true
			break
		}
		if retry := !sent && x.Reused && !redial; !retry {
			if sent {
				return x.fail(Unknown, err)
			}
			return x.fail(NotSent, err)
		}
		x.closeConn()
	}
	if x.closedEarly {
		x.conn.deadline = earlier(x.conn.deadline, time.Now().Add(drainTimeout))
		x.conn.limitReads(x.conn.deadline)
	}
	x.reader = readerPool.Get().(*bufio.Reader)
	x.reader.Reset(x.conn)
	if err := x.awaitAnswer(p.names); err != nil {
		if x.conn.readErr != nil {
			err = x.conn.readErr // fasthttp's error has less detail
		}
		return x.fail(Unknown, err)
	}
	if x.Outcome != Partial {
		x.drainBody()
	}
	return x
}

// fail ends an exchange without an answer.
func (x *Exchange) fail(outcome Outcome, err error) *Exchange {
	x.Outcome, x.Err = outcome, err
	x.closeConn()
	return x
}

// closeConn closes the connection, if there is one, and returns the buffer to its pool.
func (x *Exchange) closeConn() {
	if x.reader != nil && x.reader.Size() == bufferSize {
		x.reader.Reset(nil)
		readerPool.Put(x.reader)
	}
	x.reader = nil
	if x.conn != nil {
		x.conn.releaseCaller()
		x.pool.discard(x.conn)
		x.conn = nil
	}
}

// awaitAnswer reads headers until it finds the one that answers this request.
func (x *Exchange) awaitAnswer(names adapter.HeaderNames) error {
	surplus, interim := 0, 0
	for {
		if err := x.readHeader(); err != nil {
			return err
		}
		header := &x.Response.Header
		status := header.StatusCode()
		if status < 200 {
			if interim++; interim > maxInterimAnswers || status == fasthttp.StatusSwitchingProtocols {
				return fmt.Errorf("upstream: unexpected interim answer %d", status)
			}
			continue
		}
		ids := header.PeekAll(names.AttemptID)
		if len(ids) > 1 {
			return fmt.Errorf("upstream: answer has %d attempt ids", len(ids))
		}
		x.body = body{remaining: header.ContentLength()}
		if status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
			x.body.remaining = 0
		}
		if len(ids) == 1 && string(ids[0]) != x.dispatch.ID {
			if surplus++; surplus > maxSurplusAnswers {
				return fmt.Errorf("upstream: %d surplus answers, the last for %q", surplus, ids[0])
			}
			if _, err := io.Copy(io.Discard, x.bodyReader()); err != nil {
				return err
			}
			if header.ConnectionClose() {
				return fmt.Errorf("upstream: connection closes after an answer for %q", ids[0])
			}
			continue
		}
		return x.classify(names, status, len(ids) == 1)
	}
}

// classify determines the outcome of an answer that doesn't belong to another request. A success without an attempt id is
// never passed on.
func (x *Exchange) classify(names adapter.HeaderNames, status int, hasID bool) error {
	header := &x.Response.Header
	isHead := x.dispatch.Request.Header.IsHead()
	if isHead {
		x.body.remaining = 0
	}
	x.length = x.body.remaining
	// After HEAD the length of a surplus answer would be unknown.
	x.keepAlive = !header.ConnectionClose() && !isHead && !x.closedEarly
	switch {
	case !hasID && x.Reused: // it may be the surplus refusal of an earlier request
		return fmt.Errorf("upstream: answer %d without an attempt id on a reused connection", status)
	case status == fasthttp.StatusMisdirectedRequest:
		x.Outcome, x.keepAlive = WorkerReplaced, false
		x.Err = errors.New("upstream: another worker listens at this address")
	case (status == 400 || status == 429 || status == 503) && len(header.Peek(names.NotRun)) > 0:
		x.Outcome = NotRun
		x.Err = fmt.Errorf("upstream: worker refused the request with status %d", status)
	case !hasID:
		return fmt.Errorf("upstream: answer %d without an attempt id", status)
	case x.body.remaining < -1:
		return fmt.Errorf("upstream: answer %d without a length or chunked encoding", status)
	}
	return nil
}

// readHeader reads one header. Bytes that can't be the start of one are rejected at once, without waiting for more.
func (x *Exchange) readHeader() error {
	const protocol = "HTTP/1."
	for i := range len(protocol) {
		b, err := x.reader.Peek(i + 1)
		if err != nil {
			return err
		}
		if b[i] != protocol[i] {
			return fmt.Errorf("upstream: not an HTTP answer: %q", b)
		}
	}
	var smallBuffer *fasthttp.ErrSmallBuffer
	err := x.Response.Header.Read(x.reader)
	if errors.As(err, &smallBuffer) {
		x.reader = bufio.NewReaderSize(x.reader, maxHeaderBytes)
		err = x.Response.Header.Read(x.reader)
	}
	return err
}

// drainBody reads a refusal's body, if it is small and comes soon, so that the connection can be reused.
func (x *Exchange) drainBody() {
	if x.length < -1 || x.length > maxRefusalBytes {
		return
	}
	x.conn.limitReads(earlier(x.conn.deadline, time.Now().Add(drainTimeout)))
	b, err := io.ReadAll(io.LimitReader(x.bodyReader(), maxRefusalBytes+1))
	if err == nil && x.body.complete() {
		x.Response.SetBody(b)
	}
}
