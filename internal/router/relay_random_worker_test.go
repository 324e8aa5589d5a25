package router

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"runtime"
	"strings"
	"sync"
)

// randomWorkers answer, close, delay, repeat, swap and corrupt responses, as drawn from the seed and the request's ID.
type randomWorkers struct {
	seed      uint64
	history   *relayHistory
	mu        sync.Mutex
	runs      int
	ids       []string               // of the requests so far, for swapped responses
	behaviors map[workerBehavior]int // how often each occurred
}

// workerBehavior is what a worker does with one request.
type workerBehavior int

const (
	respondsCorrectly workerBehavior = iota
	refusesWithProof
	misdirects
	refusesWithoutProof
	fails
	closesWithoutByte
	resetsWithoutByte
	truncatesHeader
	truncatesBody
	writesGarbage
	omitsID
	sendsOtherResponse      // another request's response instead of its own
	sendsOtherResponseFirst // another request's response, then its own
	repeatsResponse         // its response twice in one write
	repeatsResponseLater    // its response again before the next one
	appendsBytes            // extra bytes after the response
	appendsRefusal          // a refusal without an ID before the next response
	overstatesLength
	workerBehaviors
)

// connState is a connection with the bytes that the worker still has to write to it.
type connState struct {
	*testConn
	delayed string // written before the next response
}

func (w *randomWorkers) serve(s *scriptedWorker) {
	for c := range s.conns {
		go func() {
			defer c.Close()
			k := &connState{testConn: c}
			for q := c.request(); q != nil; q = c.request() {
				if !w.handle(s, k, q) {
					return
				}
			}
		}()
	}
}

// handle handles one request. It returns false if the connection has to be closed.
func (w *randomWorkers) handle(s *scriptedWorker, k *connState, q *workerRequest) bool {
	h := fnv.New64a()
	_, _ = io.WriteString(h, q.id+s.id)
	rng := rand.New(rand.NewPCG(w.seed, h.Sum64()))
	behavior := respondsCorrectly
	if rng.IntN(2) == 0 {
		behavior = workerBehavior(rng.IntN(int(workerBehaviors)))
	}
	w.mu.Lock()
	w.runs++
	name := fmt.Sprintf("%s.%d", s.id, w.runs)
	other := q.id
	if len(w.ids) > 0 {
		other = w.ids[rng.IntN(len(w.ids))]
	}
	w.ids = append(w.ids, q.id)
	w.behaviors[behavior]++
	w.mu.Unlock()
	for range rng.IntN(50) {
		runtime.Gosched() // lets other goroutines run first
	}
	delayed := k.delayed
	k.delayed = ""
	switch behavior {
	case refusesWithProof:
		_, _ = fmt.Fprintf(k, "%sHTTP/1.1 %d No\r\nAttempt-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", delayed, []int{429, 503}[rng.IntN(2)], q.id)
		return true
	case misdirects:
		_, _ = fmt.Fprintf(k, "%sHTTP/1.1 421 No\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", delayed, q.id)
		return false
	}
	complete := delayed == "" && (behavior == respondsCorrectly || behavior == repeatsResponse || behavior == repeatsResponseLater || behavior == appendsBytes || behavior == appendsRefusal)
	size := rng.IntN(100)
	if behavior != appendsBytes && rng.IntN(3) == 0 {
		size = rng.IntN(5 * 4096) // more than a buffered reader reads at once, so that later bytes stay in the socket
	}
	w.history.recordRun(q.id, observedRun{name, q.body, size, complete})
	response := w.fullResponse(q, name, size, rng)
	return k.writeResponse(behavior, delayed, response, q.id, other, rng)
}

// fullResponse returns the complete correct response of a run.
func (w *randomWorkers) fullResponse(q *workerRequest, name string, size int, rng *rand.Rand) string {
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + q.id + "\r\nWorker-Seal: s\r\n"
	if strings.HasPrefix(q.URL.Path, "/pure") || strings.HasPrefix(q.URL.Path, "/effectful") {
		body := runBody(name, q.id, size)
		if rng.IntN(2) == 0 {
			return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		}
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	}
	lastID := 0
	_, _ = fmt.Sscan(q.Header.Get("Last-Event-Id"), &lastID)
	text := head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for n := lastID + 1; n <= streamEvents; n++ {
		e := runEvent(n, q.id, name)
		text += fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
	}
	return text + "0\r\n\r\n"
}

// writeResponse writes a response as changed by the behavior, in one write. It returns false if the connection has to be
// closed.
func (k *connState) writeResponse(behavior workerBehavior, delayed, response, id, other string, rng *rand.Rand) bool {
	write := func(s string) { _, _ = io.WriteString(k, delayed+s) }
	head := strings.Index(response, "\r\n\r\n") + 4
	otherResponse := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nWorker-Seal: s\r\nContent-Length: 5\r\n\r\nother", other)
	if other == id {
		otherResponse = ""
	}
	switch behavior {
	case refusesWithoutProof:
		write("HTTP/1.1 503 No\r\nAttempt-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
	case fails:
		write("HTTP/1.1 500 No\r\nAttempt-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
	case closesWithoutByte:
		return false
	case resetsWithoutByte:
		k.reset()
		return false
	case truncatesHeader:
		write(response[:rng.IntN(head)])
		return false
	case truncatesBody:
		write(response[:head+rng.IntN(len(response)-head)])
		return false
	case writesGarbage:
		write("\x16\x03\x01 no answer\r\n\r\n")
	case omitsID:
		write(strings.Replace(response, "Attempt-Id: "+id+"\r\n", "", 1))
	case sendsOtherResponse:
		write(otherResponse)
		return false
	case sendsOtherResponseFirst:
		write(otherResponse + response)
	case repeatsResponse:
		write(response + response)
	case repeatsResponseLater:
		k.delayed = response
		write(response)
	case appendsBytes:
		write(response + "surplus")
	case appendsRefusal:
		k.delayed = "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		write(response)
	case overstatesLength:
		write(strings.Replace(response[:head], "Content-Length: ", "Content-Length: 1", 1) + response[head:len(response)-3])
		return false
	default:
		write(response)
	}
	return true
}
