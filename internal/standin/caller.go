package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/router/upstream"
)

// RequestKind is one kind of request that callers send.
type RequestKind struct {
	Mapping      string
	Path         string
	AtMostOnce   bool
	TimeLeftMs   int
	PrefixBytes  int // bytes shared by all of a topic
	SessionBytes int // bytes of the session's own
	Pieces       int
}

// RequestKinds are the three of the brief, in like measure.
var RequestKinds = []RequestKind{
	{Mapping: "briefing", Path: "/v1/briefing", TimeLeftMs: 6000, PrefixBytes: 8192, SessionBytes: 768, Pieces: 30},
	{Mapping: "notice", Path: "/v1/notice", AtMostOnce: true, TimeLeftMs: 4000, PrefixBytes: 2048, SessionBytes: 256, Pieces: 8},
	{Mapping: "chat", Path: "/v1/chat", TimeLeftMs: 20000, PrefixBytes: 4096, SessionBytes: 512, Pieces: 70},
}

// Request is one request, ready to be sent.
type Request struct {
	RequestKind
	Job    string
	Prompt string
}

// RequestGenerator draws requests: sorts in like measure, topics by a steep popularity.
type RequestGenerator struct {
	rng    *rand.Rand
	zipf   *rand.Zipf
	seed   uint64
	n      int
	topics int
}

// NewRequestGenerator gives the same requests for the same seed. Hot is the share of the one most popular topic's steepness.
func NewRequestGenerator(seed uint64, topics int) *RequestGenerator {
	r := rand.New(rand.NewPCG(seed, 7))
	return &RequestGenerator{rng: r, zipf: rand.NewZipf(r, 1.3, 4, uint64(topics-1)), seed: seed, topics: topics}
}

// Next draws one request.
func (m *RequestGenerator) Next() Request {
	m.n++
	s := RequestKinds[m.rng.IntN(len(RequestKinds))]
	topic := m.zipf.Uint64()
	head := fmt.Sprintf("%s topic %d. ", s.Mapping, topic)
	own := fmt.Sprintf(" session %d of %d: ", m.n, m.seed)
	return Request{RequestKind: s, Job: fmt.Sprintf("j%d-%d", m.seed, m.n),
		Prompt: fill(head, s.PrefixBytes) + fill(own, s.SessionBytes)}
}

func fill(s string, n int) string { return strings.Repeat(s, n/len(s)+1)[:n] }

// NextDelay draws the time to the next request at a rate.
func (m *RequestGenerator) NextDelay(perSec float64) time.Duration {
	return time.Duration(m.rng.ExpFloat64() / perSec * float64(time.Second))
}

// Send sends a request to one router and judges what comes back.
func Send(ctx context.Context, router string, a Request, key string) Entry {
	e := Entry{Kind: "call", At: Now(), Job: a.Job, Mapping: a.Mapping, Router: router, TimeLeftMs: a.TimeLeftMs}
	call(ctx, router, a, key, &e)
	e.End = Now()
	return e
}

func call(ctx context.Context, router string, a Request, key string, e *Entry) {
	d := net.Dialer{Timeout: time.Second}
	c, err := d.DialContext(ctx, "tcp", router)
	if err != nil {
		e.Fault = "unreached"
		return
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	_ = c.SetDeadline(time.Now().Add(time.Duration(a.TimeLeftMs+3000) * time.Millisecond))
	body, _ := json.Marshal(map[string]any{"prompt": a.Prompt, "job": a.Job, "pieces": a.Pieces})
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + router + a.Path)
	req.Header.SetMethod("POST")
	req.Header.Set("Time-Left-Ms", strconv.Itoa(a.TimeLeftMs))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	req.SetBodyRaw(body)
	w := bufio.NewWriter(c)
	if req.Write(w) != nil || w.Flush() != nil {
		e.Fault = "unsent"
		return
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.StreamBody = true
	r := bufio.NewReader(c)
	if err := resp.ReadLimitBody(r, 1<<20); err != nil {
		e.Fault = "no answer"
		return
	}
	e.Status = resp.StatusCode()
	e.Worker = string(resp.Header.Peek("Worker"))
	e.ID = string(resp.Header.Peek("Request-Id"))
	lines := bufio.NewScanner(resp.BodyStream())
	lines.Buffer(make([]byte, 4096), 1<<20)
	if e.Status != 200 {
		refusal(lines, e)
		return
	}
	seal := upstream.NewStreamVerifier(e.ID)
	for lines.Scan() {
		if e.FirstUs == 0 {
			e.FirstUs = Now() - e.At
		}
		done, err := seal.VerifyLine(lines.Bytes())
		if err != nil {
			e.Fault = err.Error()
		}
		if done {
			continue
		}
		if want := fmt.Sprintf("%s:%d ", a.Job, e.Pieces); !strings.Contains(lines.Text(), want) {
			e.Fault = "a piece of another answer: " + lines.Text()
		}
		e.Pieces++
	}
	e.Complete = lines.Err() == nil
	if e.Complete && e.Fault == "" && !seal.Complete() {
		e.Fault = "it ends properly without a seal"
	}
	if !e.Complete {
		e.Fault = ""
	}
}

func refusal(lines *bufio.Scanner, e *Entry) {
	var x struct {
		Code   int  `json:"code"`
		NotRun bool `json:"not_run"`
		Back   int  `json:"retry_after_ms"`
	}
	if !lines.Scan() || json.Unmarshal(lines.Bytes(), &x) != nil {
		e.Fault = "a refusal that can't be read"
		return
	}
	e.Code, e.NotRun, e.RetryAfterMs = x.Code, x.NotRun, x.Back
}
