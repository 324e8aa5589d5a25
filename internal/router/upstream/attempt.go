package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"seamshunt/internal/partition"
)

// Outcome classifies an event of an attempt, or the result of an exchange.
type Outcome uint8

// Events of the outcomes Partial and Complete carry a line. All outcomes but Partial end the attempt.
const (
	Partial        Outcome = iota // a part of the answer came; for an exchange, its header
	Complete                      // the whole answer came and its seal is valid
	NotSent                       // no byte of the request was sent
	NotRun                        // the worker refused the request: it has not run and never will
	Unknown                       // the request may have run
	Broken                        // the answer broke off after a part of it came
	WorkerReplaced                // another worker listens there now: the request has not run (docs/design.md, section 11)
)

// Event is one event of an attempt.
type Event struct {
	Outcome     Outcome
	Line        []byte
	Err         error
	Unreachable bool // no process listens there
}

// Attempt is one dispatch of a prompt to one worker, on a connection of its own that is never reused. Once its caller or the
// attempt itself is cancelled, nothing is sent any more, and a request that was sent is aborted by closing the connection.
type Attempt struct {
	Addr     string
	ID       string
	Body     []byte
	TimeLeft time.Duration
	Events   chan Event
	caller   Caller
	ctx      context.Context
	cancel   context.CancelFunc
	state    atomic.Int32
}

// States of an attempt. It changes once, from pending to one of the others.
const (
	pending   int32 = iota // nothing was sent
	sending                // the request may have been sent
	abandoned              // nothing was sent and nothing will be
)

// Abandon cancels the attempt. It reports whether nothing was sent; if false, the request may have been sent already.
func (t *Attempt) Abandon() bool {
	t.Cancel()
	return t.state.CompareAndSwap(pending, abandoned)
}

// NewAttempt prepares an attempt for a caller. Run starts it.
func NewAttempt(caller Caller, addr, id string, body []byte, left time.Duration) *Attempt {
	t := &Attempt{Addr: addr, ID: id, Body: body, TimeLeft: left, Events: make(chan Event, 64), caller: caller}
	t.ctx, t.cancel = context.WithCancel(caller)
	return t
}

// Cancel closes the connection, so that the worker stops the run.
func (t *Attempt) Cancel() { t.cancel() }

// countingConn counts the bytes written.
type countingConn struct {
	net.Conn
	written int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	return n, err
}

// Run executes the attempt. It ends with exactly one event that isn't Partial.
func (t *Attempt) Run() {
	t.emit(t.execute())
}

// emit sends an event, unless the attempt has been cancelled.
func (t *Attempt) emit(e Event) {
	select {
	case t.Events <- e:
	case <-t.ctx.Done():
	}
}

func (t *Attempt) execute() Event {
	deadline := time.Now().Add(t.TimeLeft)
	nc, err := partition.DialContext(t.ctx, t.Addr, min(t.TimeLeft, dialTimeout))
	if err != nil {
		return Event{Outcome: NotSent, Err: err, Unreachable: t.ctx.Err() == nil}
	}
	defer nc.Close()
	stop := context.AfterFunc(t.ctx, func() { nc.Close() })
	defer stop()
	if err := t.caller.Check(); err != nil {
		return Event{Outcome: NotSent, Err: err}
	}
	if !t.state.CompareAndSwap(pending, sending) {
		return Event{Outcome: NotSent, Err: context.Cause(t.ctx)}
	}
	_ = nc.SetDeadline(deadline)
	c := &countingConn{Conn: nc}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + t.Addr + "/v1/generate")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set("Request-Id", t.ID)
	req.Header.Set("Time-Left-Ms", strconv.Itoa(int(max(0, time.Until(deadline))/time.Millisecond)))
	req.SetBodyRaw(t.Body)
	w := bufio.NewWriter(c)
	if err = req.Write(w); err == nil {
		err = w.Flush()
	}
	if err != nil {
		if c.written == 0 {
			return Event{Outcome: NotSent, Err: err}
		}
		return Event{Outcome: Unknown, Err: err}
	}
	return t.readAnswer(bufio.NewReader(nc))
}

func (t *Attempt) readAnswer(r *bufio.Reader) Event {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.StreamBody = true
	if err := resp.ReadLimitBody(r, MaxLineBytes); err != nil {
		return Event{Outcome: Unknown, Err: err, Unreachable: errors.Is(err, syscall.ECONNRESET)}
	}
	body := resp.BodyStream()
	if body == nil {
		body = io.MultiReader()
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return t.classifyRefusal(resp.StatusCode(), body)
	}
	if id := string(resp.Header.Peek("Request-Id")); id != t.ID {
		return Event{Outcome: Unknown, Err: fmt.Errorf("upstream: answer is for request %q", id)}
	}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 4096), MaxLineBytes)
	verifier := NewStreamVerifier(t.ID)
	started := false
	var seal []byte
	for lines.Scan() {
		done, err := verifier.VerifyLine(lines.Bytes())
		if err != nil {
			return brokenAnswer(started, err)
		}
		line := append(append([]byte(nil), lines.Bytes()...), '\n')
		if done {
			seal = line // held back until the answer has ended properly
			continue
		}
		started = true
		t.emit(Event{Outcome: Partial, Line: line})
	}
	if err := lines.Err(); err != nil {
		return brokenAnswer(started, err)
	}
	if !verifier.Complete() {
		return brokenAnswer(started, errors.New("upstream: answer ends without a seal"))
	}
	return Event{Outcome: Complete, Line: seal}
}

// brokenAnswer returns the event of an answer that broke off. Before any part of it, the outcome is unknown.
func brokenAnswer(started bool, err error) Event {
	if started {
		return Event{Outcome: Broken, Err: err}
	}
	return Event{Outcome: Unknown, Err: err}
}

// classifyRefusal accepts a refusal as NotRun only if it names the request and states that it has not run.
func (t *Attempt) classifyRefusal(status int, body io.Reader) Event {
	b, err := io.ReadAll(io.LimitReader(body, 4096))
	if err == nil && status == fasthttp.StatusServiceUnavailable {
		if v, err := fastjson.ParseBytes(b); err == nil && v.Exists("ran") && !v.GetBool("ran") &&
			v.Get("ran").Type() == fastjson.TypeFalse && string(v.GetStringBytes("id")) == t.ID {
			return Event{Outcome: NotRun, Err: errors.New("upstream: worker refused the request")}
		}
	}
	return Event{Outcome: Unknown, Err: fmt.Errorf("upstream: worker answered with status %d", status)}
}
