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

// Sort is one kind of request that callers send.
type Sort struct {
	Mapping string
	Path    string
	Once    bool
	LeftMs  int
	Prefix  int // bytes shared by all of a topic
	Own     int // bytes of the session's own
	Pieces  int
}

// Sorts are the three of the brief, in like measure.
var Sorts = []Sort{
	{Mapping: "briefing", Path: "/v1/briefing", LeftMs: 6000, Prefix: 8192, Own: 768, Pieces: 30},
	{Mapping: "notice", Path: "/v1/notice", Once: true, LeftMs: 4000, Prefix: 2048, Own: 256, Pieces: 8},
	{Mapping: "chat", Path: "/v1/chat", LeftMs: 20000, Prefix: 4096, Own: 512, Pieces: 70},
}

// Ask is one request, ready to be sent.
type Ask struct {
	Sort
	Job    string
	Prompt string
}

// Mix draws requests: sorts in like measure, topics by a steep popularity.
type Mix struct {
	rng    *rand.Rand
	zipf   *rand.Zipf
	seed   uint64
	n      int
	topics int
}

// NewMix gives the same requests for the same seed. Hot is the share of the one most popular topic's steepness.
func NewMix(seed uint64, topics int) *Mix {
	r := rand.New(rand.NewPCG(seed, 7))
	return &Mix{rng: r, zipf: rand.NewZipf(r, 1.3, 4, uint64(topics-1)), seed: seed, topics: topics}
}

// Next draws one request.
func (m *Mix) Next() Ask {
	m.n++
	s := Sorts[m.rng.IntN(len(Sorts))]
	topic := m.zipf.Uint64()
	head := fmt.Sprintf("%s topic %d. ", s.Mapping, topic)
	own := fmt.Sprintf(" session %d of %d: ", m.n, m.seed)
	return Ask{Sort: s, Job: fmt.Sprintf("j%d-%d", m.seed, m.n),
		Prompt: fill(head, s.Prefix) + fill(own, s.Own)}
}

func fill(s string, n int) string { return strings.Repeat(s, n/len(s)+1)[:n] }

// Gap draws the time to the next request at a rate.
func (m *Mix) Gap(perSec float64) time.Duration {
	return time.Duration(m.rng.ExpFloat64() / perSec * float64(time.Second))
}

// Call sends a request to one router and judges what comes back.
func Call(ctx context.Context, router string, a Ask, key string) Entry {
	e := Entry{Kind: "call", At: Now(), Job: a.Job, Mapping: a.Mapping, Router: router, LeftMs: a.LeftMs}
	call(ctx, router, a, key, &e)
	e.End = Now()
	return e
}

func call(ctx context.Context, router string, a Ask, key string, e *Entry) {
	d := net.Dialer{Timeout: time.Second}
	c, err := d.DialContext(ctx, "tcp", router)
	if err != nil {
		e.Fault = "unreached"
		return
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	_ = c.SetDeadline(time.Now().Add(time.Duration(a.LeftMs+3000) * time.Millisecond))
	body, _ := json.Marshal(map[string]any{"prompt": a.Prompt, "job": a.Job, "pieces": a.Pieces})
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + router + a.Path)
	req.Header.SetMethod("POST")
	req.Header.Set("Time-Left-Ms", strconv.Itoa(a.LeftMs))
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
	e.Whole = lines.Err() == nil
	if e.Whole && e.Fault == "" && !seal.Complete() {
		e.Fault = "it ends properly without a seal"
	}
	if !e.Whole {
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
	e.Code, e.NotRun, e.BackMs = x.Code, x.NotRun, x.Back
}
