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

// LoadModel says how a stand-in worker behaves. Its shape is the source's: a batch that slows with its size, a
// prefix cache, and past the knee recomputation that makes everything late.
type LoadModel struct {
	Knee           int
	CacheBlocks    int           // prefix cache, in blocks
	PrefillPerByte time.Duration // prefill of a byte that isn't cached
	TimePerPiece   time.Duration
	MaxBatch       int // what it refuses beyond, sealed as not run
}

// DefaultLoadModel is the one that the docs' measurements use.
var DefaultLoadModel = LoadModel{Knee: 4, CacheBlocks: 400, PrefillPerByte: 40 * time.Microsecond, TimePerPiece: 20 * time.Millisecond, MaxBatch: 64}

// Worker is one stand-in back end.
type Worker struct {
	Name, Pool, Zone string
	Model            LoadModel
	FaultMode        string // how it answers wrongly; empty for rightly
	Journal          *Journal
	mu               sync.Mutex
	flight           int
	cache            cache
}

// Serve answers on ln until it is closed.
func (w *Worker) Serve(ln net.Listener) error {
	w.cache = newCache(w.Model.CacheBlocks)
	s := &fasthttp.Server{Handler: w.handle, Name: "worker", MaxRequestBodySize: 8 << 20, NoDefaultDate: true, Concurrency: 65536}
	return s.Serve(ln)
}

type job struct {
	Prompt string `json:"prompt"`
	Job    string `json:"job"`
	Pieces int    `json:"pieces"`
}

func (w *Worker) handle(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek("Request-Id"))
	left, err := strconv.Atoi(string(ctx.Request.Header.Peek("Time-Left-Ms")))
	var j job
	if err != nil || id == "" || json.Unmarshal(ctx.PostBody(), &j) != nil {
		ctx.SetStatusCode(400)
		return
	}
	w.mu.Lock()
	full := w.flight >= w.Model.MaxBatch
	if !full {
		w.flight++
	}
	n := w.flight
	hit := 0.0
	if !full {
		hit = w.cache.take(j.Prompt)
	}
	w.mu.Unlock()
	if full || left <= 0 {
		if !full {
			w.leave()
		}
		ctx.SetStatusCode(503)
		ctx.SetBodyString(fmt.Sprintf(`{"id":%q,"ran":false}`, id))
		return
	}
	w.Journal.Write(Entry{Kind: "start", At: Now(), Job: j.Job, Worker: w.Name, Pool: w.Pool, Zone: w.Zone, ID: id, CacheHit: hit, InFlight: n, Bytes: len(j.Prompt)})
	pieces := j.Pieces
	if pieces <= 0 {
		pieces = 10
	}
	conn := ctx.Conn()
	due := time.Now().Add(time.Duration(left) * time.Millisecond)
	miss := time.Duration(float64(len(j.Prompt)) * (1 - hit) * float64(w.Model.PrefillPerByte))
	if w.FaultMode == "id" {
		id = "somebody-else"
	}
	ctx.Response.Header.Set("Request-Id", id)
	ctx.SetBodyStreamWriter(func(b *bufio.Writer) {
		how := w.run(b, conn, id, j, pieces, miss, due)
		w.leave()
		w.Journal.Write(Entry{Kind: "end", At: Now(), Job: j.Job, Worker: w.Name, ID: id, How: how})
	})
}

func (w *Worker) leave() {
	w.mu.Lock()
	w.flight--
	w.mu.Unlock()
}

// slow is how much a step takes longer now. Past the knee, recomputation sets in.
func (w *Worker) slow() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := 1 + 0.05*float64(min(w.flight, w.Model.Knee))
	if over := w.flight - w.Model.Knee; over > 0 {
		f *= 1 + 0.5*float64(over)
	}
	return f
}

// pause waits a step; it says false when the caller is gone or the time is out.
func (w *Worker) pause(conn net.Conn, d time.Duration, due time.Time) bool {
	for d = time.Duration(float64(d) * w.slow()); d > 0; d -= 50 * time.Millisecond {
		if time.Now().After(due) || socket.PeerClosed(conn) {
			return false
		}
		time.Sleep(min(d, 50*time.Millisecond))
	}
	return true
}

// dark says nothing and notices nothing till the time is out, as a worker does whose machine hangs.
func (w *Worker) dark(due time.Time) string {
	time.Sleep(time.Until(due))
	return "dark"
}

func (w *Worker) run(b *bufio.Writer, conn net.Conn, id string, j job, pieces int, miss time.Duration, due time.Time) string {
	sum, bytes := sha256.New(), 0
	if w.FaultMode == "dark" {
		return w.dark(due)
	}
	if !w.pause(conn, miss, due) {
		conn.Close()
		return "cut"
	}
	for i := 0; i < pieces || w.FaultMode == "endless"; i++ {
		if !w.pause(conn, w.Model.TimePerPiece, due) {
			conn.Close()
			return "cut"
		}
		text := fmt.Sprintf("%s:%d %s", j.Job, i, strings.Repeat("word ", 4))
		n := i
		switch {
		case w.FaultMode == "mute" && i == 2:
			return w.dark(due)
		case w.FaultMode == "gap" && i >= 2:
			n++
		case w.FaultMode == "double" && i == 2:
			n--
		case w.FaultMode == "cut" && i == 2:
			conn.Close()
			return "cut"
		}
		if w.FaultMode == "text" && i == 1 {
			sum.Write([]byte("other"))
		}
		sum.Write([]byte(text))
		bytes += len(text)
		fmt.Fprintf(b, "{\"n\":%d,\"text\":%q}\n", n, text)
		if b.Flush() != nil {
			return "cut"
		}
	}
	if w.FaultMode != "seal" {
		fmt.Fprintf(b, "{\"seal\":{\"id\":%q,\"pieces\":%d,\"bytes\":%d,\"digest\":%q}}\n", id, pieces, bytes, hex.EncodeToString(sum.Sum(nil)))
		if w.FaultMode == "more" {
			fmt.Fprintf(b, "{\"n\":%d,\"text\":\"more\"}\n", pieces)
		}
	}
	if b.Flush() != nil {
		return "cut"
	}
	return "done"
}
