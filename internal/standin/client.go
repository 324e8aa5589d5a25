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

// RequestKind is one kind of request that clients send.
type RequestKind struct {
	Mapping      string
	Path         string
	AtMostOnce   bool // the request must not be repeated
	TimeLeftMs   int
	PrefixBytes  int // shared by all prompts of a topic
	SessionBytes int // unique to the session
	Pieces       int
}

// RequestKinds are the kinds of requests of the specification. All are equally frequent.
var RequestKinds = []RequestKind{
	{Mapping: "briefing", Path: "/v1/briefing", TimeLeftMs: 6000, PrefixBytes: 8192, SessionBytes: 768, Pieces: 30},
	{Mapping: "notice", Path: "/v1/notice", AtMostOnce: true, TimeLeftMs: 4000, PrefixBytes: 2048, SessionBytes: 256, Pieces: 8},
	{Mapping: "chat", Path: "/v1/chat", TimeLeftMs: 20000, PrefixBytes: 4096, SessionBytes: 512, Pieces: 70},
}

// Request is one request to send.
type Request struct {
	RequestKind
	Job    string
	Prompt string
}

// RequestGenerator draws random requests: all kinds are equally frequent, topics follow a Zipf distribution.
type RequestGenerator struct {
	rng    *rand.Rand
	zipf   *rand.Zipf
	seed   uint64
	drawn  int
	topics int
}

// NewRequestGenerator returns a generator of requests on a number of topics. The same seed gives the same requests.
func NewRequestGenerator(seed uint64, topics int) *RequestGenerator {
	rng := rand.New(rand.NewPCG(seed, 7))
	return &RequestGenerator{rng: rng, zipf: rand.NewZipf(rng, 1.3, 4, uint64(topics-1)), seed: seed, topics: topics}
}

// Next returns the next request.
func (g *RequestGenerator) Next() Request {
	g.drawn++
	kind := RequestKinds[g.rng.IntN(len(RequestKinds))]
	topic := g.zipf.Uint64()
	topicText := fmt.Sprintf("%s topic %d. ", kind.Mapping, topic)
	sessionText := fmt.Sprintf(" session %d of %d: ", g.drawn, g.seed)
	return Request{RequestKind: kind, Job: fmt.Sprintf("j%d-%d", g.seed, g.drawn),
		Prompt: repeatToLength(topicText, kind.PrefixBytes) + repeatToLength(sessionText, kind.SessionBytes)}
}

// repeatToLength repeats a text up to a length in bytes.
func repeatToLength(text string, length int) string {
	return strings.Repeat(text, length/len(text)+1)[:length]
}

// NextDelay returns a random time until the next request, exponentially distributed.
func (g *RequestGenerator) NextDelay(perSecond float64) time.Duration {
	return time.Duration(g.rng.ExpFloat64() / perSecond * float64(time.Second))
}

// Send sends a request to one router and checks the answer.
func Send(ctx context.Context, router string, request Request, key string) Entry {
	entry := Entry{Kind: "call", At: Now(), Job: request.Job, Mapping: request.Mapping, Router: router,
		TimeLeftMs: request.TimeLeftMs}
	exchange(ctx, router, request, key, &entry)
	entry.End = Now()
	return entry
}

// exchange sends a request, verifies the streamed answer and records the outcome in entry.
func exchange(ctx context.Context, router string, request Request, key string, entry *Entry) {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", router)
	if err != nil {
		entry.Fault = "unreached"
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	_ = conn.SetDeadline(time.Now().Add(time.Duration(request.TimeLeftMs+3000) * time.Millisecond))
	body, _ := json.Marshal(map[string]any{"prompt": request.Prompt, "job": request.Job, "pieces": request.Pieces})
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + router + request.Path)
	req.Header.SetMethod("POST")
	req.Header.Set("Time-Left-Ms", strconv.Itoa(request.TimeLeftMs))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	req.SetBodyRaw(body)
	writer := bufio.NewWriter(conn)
	if req.Write(writer) != nil || writer.Flush() != nil {
		entry.Fault = "unsent"
		return
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.StreamBody = true
	reader := bufio.NewReader(conn)
	if err := resp.ReadLimitBody(reader, 1<<20); err != nil {
		entry.Fault = "no answer"
		return
	}
	entry.Status = resp.StatusCode()
	entry.Worker = string(resp.Header.Peek("Worker"))
	entry.ID = string(resp.Header.Peek("Request-Id"))
	lines := bufio.NewScanner(resp.BodyStream())
	lines.Buffer(make([]byte, 4096), 1<<20)
	if entry.Status != 200 {
		recordRefusal(lines, entry)
		return
	}
	verifier := upstream.NewStreamVerifier(entry.ID)
	for lines.Scan() {
		if entry.FirstUs == 0 {
			entry.FirstUs = Now() - entry.At
		}
		done, err := verifier.VerifyLine(lines.Bytes())
		if err != nil {
			entry.Fault = err.Error()
		}
		if done {
			continue
		}
		if want := fmt.Sprintf("%s:%d ", request.Job, entry.Pieces); !strings.Contains(lines.Text(), want) {
			entry.Fault = "a piece of another answer: " + lines.Text()
		}
		entry.Pieces++
	}
	entry.Complete = lines.Err() == nil
	if entry.Complete && entry.Fault == "" && !verifier.Complete() {
		entry.Fault = "it ends properly without a seal"
	}
	if !entry.Complete {
		entry.Fault = ""
	}
}

// recordRefusal records why a request was refused (status other than 200) and whether it may be sent again.
func recordRefusal(lines *bufio.Scanner, entry *Entry) {
	var answer struct {
		Code         int  `json:"code"`
		NotRun       bool `json:"not_run"`
		RetryAfterMs int  `json:"retry_after_ms"`
	}
	if !lines.Scan() || json.Unmarshal(lines.Bytes(), &answer) != nil {
		entry.Fault = "a refusal that can't be read"
		return
	}
	entry.Code, entry.NotRun, entry.RetryAfterMs = answer.Code, answer.NotRun, answer.RetryAfterMs
}
