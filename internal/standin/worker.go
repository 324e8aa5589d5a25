package standin

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/socket"
)

// LoadModel is how the speed of a stand-in worker depends on its load. As with a real model worker, a batch becomes slower
// with its size, a prefix cache shortens the prefill, and past the knee recomputation delays all requests.
type LoadModel struct {
	Knee           int           // requests in flight above which recomputation sets in
	CacheBlocks    int           // size of the prefix cache
	PrefillPerByte time.Duration // for bytes that aren't cached
	TimePerPiece   time.Duration
	MaxBatch       int // max requests in flight; further ones are refused as not run
}

// DefaultLoadModel is the model that the measurements in the documentation use.
var DefaultLoadModel = LoadModel{Knee: 4, CacheBlocks: 400, PrefillPerByte: 40 * time.Microsecond,
	TimePerPiece: 20 * time.Millisecond, MaxBatch: 64}

// Worker is a stand-in for one model worker.
type Worker struct {
	Name, Pool, Zone string
	Model            LoadModel
	FaultMode        string // fault of its answers, see streamAnswer and handle; empty for correct answers
	Journal          *Journal
	mu               sync.Mutex
	inFlight         int
	cache            cache
}

// Serve serves requests on ln until it is closed.
func (w *Worker) Serve(ln net.Listener) error {
	w.cache = newCache(w.Model.CacheBlocks)
	server := &fasthttp.Server{Handler: w.handle, Name: "worker", MaxRequestBodySize: 8 << 20, NoDefaultDate: true,
		Concurrency: 65536}
	return server.Serve(ln)
}

type generateRequest struct {
	Prompt string `json:"prompt"`
	Job    string `json:"job"`
	Pieces int    `json:"pieces"`
}

func (w *Worker) handle(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek("Request-Id"))
	timeLeftMs, err := strconv.Atoi(string(ctx.Request.Header.Peek("Time-Left-Ms")))
	var request generateRequest
	if err != nil || id == "" || json.Unmarshal(ctx.PostBody(), &request) != nil {
		ctx.SetStatusCode(400)
		return
	}
	w.mu.Lock()
	full := w.inFlight >= w.Model.MaxBatch
	if !full {
		w.inFlight++
	}
	inFlight := w.inFlight
	cacheHit := 0.0
	if !full {
		cacheHit = w.cache.matchAndStore(request.Prompt)
	}
	w.mu.Unlock()
	if full || timeLeftMs <= 0 {
		if !full {
			w.release()
		}
		ctx.SetStatusCode(503)
		ctx.SetBodyString(fmt.Sprintf(`{"id":%q,"ran":false}`, id))
		return
	}
	w.Journal.Write(Entry{Kind: "start", At: Now(), Job: request.Job, Worker: w.Name, Pool: w.Pool, Zone: w.Zone, ID: id,
		CacheHit: cacheHit, InFlight: inFlight, Bytes: len(request.Prompt)})
	pieces := request.Pieces
	if pieces <= 0 {
		pieces = 10
	}
	conn := ctx.Conn()
	deadline := time.Now().Add(time.Duration(timeLeftMs) * time.Millisecond)
	prefill := time.Duration(float64(len(request.Prompt)) * (1 - cacheHit) * float64(w.Model.PrefillPerByte))
	if w.FaultMode == "id" {
		id = "somebody-else"
	}
	ctx.Response.Header.Set("Request-Id", id)
	ctx.SetBodyStreamWriter(func(out *bufio.Writer) {
		outcome := w.streamAnswer(out, conn, id, request, pieces, prefill, deadline)
		w.release()
		w.Journal.Write(Entry{Kind: "end", At: Now(), Job: request.Job, Worker: w.Name, ID: id, How: outcome})
	})
}

func (w *Worker) release() {
	w.mu.Lock()
	w.inFlight--
	w.mu.Unlock()
}

// slowdown returns the factor by which a step takes longer at the current load. Above the knee, recomputation adds to it.
func (w *Worker) slowdown() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	factor := 1 + 0.05*float64(min(w.inFlight, w.Model.Knee))
	if excess := w.inFlight - w.Model.Knee; excess > 0 {
		factor *= 1 + 0.5*float64(excess)
	}
	return factor
}

// wait waits for the time of a step. It reports false if the client has disconnected or the deadline has passed.
func (w *Worker) wait(conn net.Conn, d time.Duration, deadline time.Time) bool {
	for d = time.Duration(float64(d) * w.slowdown()); d > 0; d -= 50 * time.Millisecond {
		if time.Now().After(deadline) || socket.PeerClosed(conn) {
			return false
		}
		time.Sleep(min(d, 50*time.Millisecond))
	}
	return true
}

// hang sends nothing and ignores disconnects until the deadline, like a worker whose machine hangs.
func (w *Worker) hang(deadline time.Time) string {
	time.Sleep(time.Until(deadline))
	return "dark"
}

// streamAnswer streams the pieces of an answer and its seal (the last line, with counts and digest), with the faults of the
// fault mode. It returns how the answer ended: done, cut or dark (see Entry.How).
func (w *Worker) streamAnswer(out *bufio.Writer, conn net.Conn, id string, request generateRequest, pieces int,
	prefill time.Duration, deadline time.Time) string {
	digest, bytes := sha256.New(), 0
	if w.FaultMode == "dark" {
		return w.hang(deadline)
	}
	if !w.wait(conn, prefill, deadline) {
		conn.Close()
		return "cut"
	}
	for i := 0; i < pieces || w.FaultMode == "endless"; i++ {
		if !w.wait(conn, w.Model.TimePerPiece, deadline) {
			conn.Close()
			return "cut"
		}
		text := fmt.Sprintf("%s:%d %s", request.Job, i, strings.Repeat("word ", 4))
		number := i
		switch {
		case w.FaultMode == "mute" && i == 2:
			return w.hang(deadline)
		case w.FaultMode == "gap" && i >= 2:
			number++
		case w.FaultMode == "double" && i == 2:
			number--
		case w.FaultMode == "cut" && i == 2:
			conn.Close()
			return "cut"
		}
		if w.FaultMode == "text" && i == 1 {
			digest.Write([]byte("other"))
		}
		digest.Write([]byte(text))
		bytes += len(text)
		fmt.Fprintf(out, "{\"n\":%d,\"text\":%q}\n", number, text)
		if out.Flush() != nil {
			return "cut"
		}
	}
	if w.FaultMode != "seal" {
		fmt.Fprintf(out, "{\"seal\":{\"id\":%q,\"pieces\":%d,\"bytes\":%d,\"digest\":%q}}\n", id, pieces, bytes,
			hex.EncodeToString(digest.Sum(nil)))
		if w.FaultMode == "more" {
			fmt.Fprintf(out, "{\"n\":%d,\"text\":\"more\"}\n", pieces)
		}
	}
	if out.Flush() != nil {
		return "cut"
	}
	return "done"
}
