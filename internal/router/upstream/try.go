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

	"seamshunt/internal/shield"
)

// Kind of an event of one try.
type Kind uint8

// Piece and Seal carry a line. The others end the try.
const (
	Piece   Kind = iota
	Sealed       // the whole answer came and its seal fits
	NotSent      // no byte of the request left this node
	NotRun       // the worker sealed a refusal: it did not run and never will
	Unknown      // it may have run
	Broken       // pieces came, and then the answer broke
	Moved        // another worker is there now: it did not run (design 11)
)

// Event is one thing that happened to a try.
type Event struct {
	Kind Kind
	Line []byte
	Err  error
	Down bool // nobody listens there
}

// Try is one hand-over of a prompt to one worker, on a connection of its own that is never reused. Once its caller or the try
// itself is cancelled nothing is sent any more, and what was sent is broken off.
type Try struct {
	Addr   string
	ID     string
	Body   []byte
	Left   time.Duration
	Events chan Event
	caller Caller
	ctx    context.Context
	cancel context.CancelFunc
	state  atomic.Int32
}

// States of a try. It leaves pending once, for one of the others.
const (
	pending   int32 = iota // nothing was sent
	sending                // the request may have left
	abandoned              // nothing was sent and nothing will be
)

// Abandon has the try send nothing. False says that the request may have left already.
func (t *Try) Abandon() bool {
	t.Cancel()
	return t.state.CompareAndSwap(pending, abandoned)
}

// NewTry prepares a try for a caller.
func NewTry(caller Caller, addr, id string, body []byte, left time.Duration) *Try {
	t := &Try{Addr: addr, ID: id, Body: body, Left: left, Events: make(chan Event, 64), caller: caller}
	t.ctx, t.cancel = context.WithCancel(caller)
	return t
}

// Cancel breaks the connection off, so that the worker stops the run.
func (t *Try) Cancel() { t.cancel() }

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
func (t *Try) Run() {
	t.tell(t.run())
}

// tell passes an event on, unless nobody wants it any more.
func (t *Try) tell(e Event) {
	select {
	case t.Events <- e:
	case <-t.ctx.Done():
	}
}

func (t *Try) run() Event {
	due := time.Now().Add(t.Left)
	nc, err := shield.DialContext(t.ctx, t.Addr, min(t.Left, dialMost))
	if err != nil {
		return Event{Kind: NotSent, Err: err, Down: t.ctx.Err() == nil}
	}
	defer nc.Close()
	stop := context.AfterFunc(t.ctx, func() { nc.Close() })
	defer stop()
	if err := t.caller.Look(); err != nil {
		return Event{Kind: NotSent, Err: err}
	}
	if !t.state.CompareAndSwap(pending, sending) {
		return Event{Kind: NotSent, Err: context.Cause(t.ctx)}
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
			return Event{Kind: NotSent, Err: err}
		}
		return Event{Kind: Unknown, Err: err}
	}
	return t.read(bufio.NewReader(nc))
}

func (t *Try) read(r *bufio.Reader) Event {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.StreamBody = true
	if err := resp.ReadLimitBody(r, MaxLine); err != nil {
		return Event{Kind: Unknown, Err: err, Down: errors.Is(err, syscall.ECONNRESET)}
	}
	body := resp.BodyStream()
	if body == nil {
		body = io.MultiReader()
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return t.refusal(resp.StatusCode(), body)
	}
	if id := string(resp.Header.Peek("Request-Id")); id != t.ID {
		return Event{Kind: Unknown, Err: fmt.Errorf("upstream: answer for request %q", id)}
	}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 4096), MaxLine)
	s := NewSeal(t.ID)
	begun := false
	var seal []byte
	for lines.Scan() {
		done, err := s.Line(lines.Bytes())
		if err != nil {
			return broken(begun, err)
		}
		line := append(append([]byte(nil), lines.Bytes()...), '\n')
		if done {
			seal = line // kept until the answer has ended properly behind it
			continue
		}
		begun = true
		t.tell(Event{Kind: Piece, Line: line})
	}
	if err := lines.Err(); err != nil {
		return broken(begun, err)
	}
	if !s.Sealed() {
		return broken(begun, errors.New("upstream: the answer ends without a seal"))
	}
	return Event{Kind: Sealed, Line: seal}
}

func broken(begun bool, err error) Event {
	if begun {
		return Event{Kind: Broken, Err: err}
	}
	return Event{Kind: Unknown, Err: err}
}

// refusal: only a refusal that names the request and says that it has not run is believed.
func (t *Try) refusal(status int, body io.Reader) Event {
	b, err := io.ReadAll(io.LimitReader(body, 4096))
	if err == nil && status == fasthttp.StatusServiceUnavailable {
		if v, err := fastjson.ParseBytes(b); err == nil && v.Exists("ran") && !v.GetBool("ran") &&
			v.Get("ran").Type() == fastjson.TypeFalse && string(v.GetStringBytes("id")) == t.ID {
			return Event{Kind: NotRun, Err: errors.New("upstream: worker refused")}
		}
	}
	return Event{Kind: Unknown, Err: fmt.Errorf("upstream: worker answered %d", status)}
}
