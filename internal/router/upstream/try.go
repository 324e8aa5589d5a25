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

// Outcome of an event of one try.
type Outcome uint8

// Piece and Seal carry a line. The others end the try.
const (
	Partial        Outcome = iota
	Complete               // the whole answer came and its seal fits
	NotSent                // no byte of the request left this node
	NotRun                 // the worker sealed a refusal: it did not run and never will
	Unknown                // it may have run
	Broken                 // pieces came, and then the answer broke
	WorkerReplaced         // another worker is there now: it did not run (design 11)
)

// Event is one thing that happened to a try.
type Event struct {
	Outcome     Outcome
	Line        []byte
	Err         error
	Unreachable bool // nobody listens there
}

// Attempt is one hand-over of a prompt to one worker, on a connection of its own that is never reused. Once its caller or the try
// itself is cancelled nothing is sent any more, and what was sent is broken off.
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

// States of a try. It leaves pending once, for one of the others.
const (
	pending   int32 = iota // nothing was sent
	sending                // the request may have left
	abandoned              // nothing was sent and nothing will be
)

// Abandon has the try send nothing. False says that the request may have left already.
func (t *Attempt) Abandon() bool {
	t.Cancel()
	return t.state.CompareAndSwap(pending, abandoned)
}

// NewAttempt prepares a try for a caller.
func NewAttempt(caller Caller, addr, id string, body []byte, left time.Duration) *Attempt {
	t := &Attempt{Addr: addr, ID: id, Body: body, TimeLeft: left, Events: make(chan Event, 64), caller: caller}
	t.ctx, t.cancel = context.WithCancel(caller)
	return t
}

// Cancel breaks the connection off, so that the worker stops the run.
func (t *Attempt) Cancel() { t.cancel() }

// counted tells whether any byte left.
type counted struct {
	net.Conn
	n int64
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n += int64(n)
	return n, err
}

// Run does the try; it ends with exactly one event that is no piece.
func (t *Attempt) Run() {
	t.tell(t.run())
}

// tell passes an event on, unless nobody wants it any more.
func (t *Attempt) tell(e Event) {
	select {
	case t.Events <- e:
	case <-t.ctx.Done():
	}
}

func (t *Attempt) run() Event {
	due := time.Now().Add(t.TimeLeft)
	nc, err := partition.DialContext(t.ctx, t.Addr, min(t.TimeLeft, dialMost))
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
	_ = nc.SetDeadline(due)
	c := &counted{Conn: nc}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + t.Addr + "/v1/generate")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set("Request-Id", t.ID)
	req.Header.Set("Time-Left-Ms", strconv.Itoa(int(max(0, time.Until(due))/time.Millisecond)))
	req.SetBodyRaw(t.Body)
	w := bufio.NewWriter(c)
	if err = req.Write(w); err == nil {
		err = w.Flush()
	}
	if err != nil {
		if c.n == 0 {
			return Event{Outcome: NotSent, Err: err}
		}
		return Event{Outcome: Unknown, Err: err}
	}
	return t.read(bufio.NewReader(nc))
}

func (t *Attempt) read(r *bufio.Reader) Event {
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
		return t.refusal(resp.StatusCode(), body)
	}
	if id := string(resp.Header.Peek("Request-Id")); id != t.ID {
		return Event{Outcome: Unknown, Err: fmt.Errorf("upstream: answer for request %q", id)}
	}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 4096), MaxLineBytes)
	s := NewStreamVerifier(t.ID)
	begun := false
	var seal []byte
	for lines.Scan() {
		done, err := s.VerifyLine(lines.Bytes())
		if err != nil {
			return broken(begun, err)
		}
		line := append(append([]byte(nil), lines.Bytes()...), '\n')
		if done {
			seal = line // kept until the answer has ended properly behind it
			continue
		}
		begun = true
		t.tell(Event{Outcome: Partial, Line: line})
	}
	if err := lines.Err(); err != nil {
		return broken(begun, err)
	}
	if !s.Complete() {
		return broken(begun, errors.New("upstream: the answer ends without a seal"))
	}
	return Event{Outcome: Complete, Line: seal}
}

func broken(begun bool, err error) Event {
	if begun {
		return Event{Outcome: Broken, Err: err}
	}
	return Event{Outcome: Unknown, Err: err}
}

// refusal: only a refusal that names the request and says that it has not run is believed.
func (t *Attempt) refusal(status int, body io.Reader) Event {
	b, err := io.ReadAll(io.LimitReader(body, 4096))
	if err == nil && status == fasthttp.StatusServiceUnavailable {
		if v, err := fastjson.ParseBytes(b); err == nil && v.Exists("ran") && !v.GetBool("ran") &&
			v.Get("ran").Type() == fastjson.TypeFalse && string(v.GetStringBytes("id")) == t.ID {
			return Event{Outcome: NotRun, Err: errors.New("upstream: worker refused")}
		}
	}
	return Event{Outcome: Unknown, Err: fmt.Errorf("upstream: worker answered %d", status)}
}
