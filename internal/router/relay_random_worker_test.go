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

// randomWorkers answer, break off, delay, double, swap and garble as the seed and the request's id draw it.
type randomWorkers struct {
	seed  uint64
	notes *relayNotes
	mu    sync.Mutex
	count int
	ids   []string          // that have arrived, for swapped answers
	ways  map[randomWay]int // how often each was taken
}

// randomWay is what a worker does with one request.
type randomWay int

const (
	rightly randomWay = iota
	refusesNamed
	misdirects
	refusesWithoutPromise
	fails
	closesSilently
	resetsSilently
	cutsHead
	cutsBody
	garbles
	leavesIDOut
	swaps       // another request's answer comes in its place, and nothing else
	swapsFirst  // the same, and then its own
	doubles     // its answer comes twice at once
	doublesLate // the second time in the place of the next one
	addsBytes   // bytes behind the answer
	addsRefusal // an unnamed refusal in the place of the next answer
	announcesMore
	randomWays
)

// connState is what a worker still owes to a connection.
type connState struct {
	*workerConn
	late string // comes before the next answer
}

func (w *randomWorkers) serve(s *scriptedWorker) {
	for c := range s.conns {
		go func() {
			defer c.Close()
			k := &connState{workerConn: c}
			for q := c.request(); q != nil; q = c.request() {
				if !w.request(s, k, q) {
					return
				}
			}
		}()
	}
}

// request handles one; false ends the connection.
func (w *randomWorkers) request(s *scriptedWorker, k *connState, q *workerRequest) bool {
	h := fnv.New64a()
	_, _ = io.WriteString(h, q.id+s.id)
	draw := rand.New(rand.NewPCG(w.seed, h.Sum64()))
	way := rightly
	if draw.IntN(2) == 0 {
		way = randomWay(draw.IntN(int(randomWays)))
	}
	w.mu.Lock()
	w.count++
	name := fmt.Sprintf("%s.%d", s.id, w.count)
	other := q.id
	if len(w.ids) > 0 {
		other = w.ids[draw.IntN(len(w.ids))]
	}
	w.ids = append(w.ids, q.id)
	w.ways[way]++
	w.mu.Unlock()
	for range draw.IntN(50) {
		runtime.Gosched() // others go first
	}
	late := k.late
	k.late = ""
	switch way {
	case refusesNamed:
		_, _ = fmt.Fprintf(k, "%sHTTP/1.1 %d No\r\nAttempt-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", late, []int{429, 503}[draw.IntN(2)], q.id)
		return true
	case misdirects:
		_, _ = fmt.Fprintf(k, "%sHTTP/1.1 421 No\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", late, q.id)
		return false
	}
	right := late == "" && (way == rightly || way == doubles || way == doublesLate || way == addsBytes || way == addsRefusal)
	size := draw.IntN(100)
	if way != addsBytes && draw.IntN(3) == 0 {
		size = draw.IntN(5 * 4096) // more than a reader takes at once: what is behind it stays in the socket
	}
	w.notes.run(q.id, runNote{name, q.body, size, right})
	whole := w.text(q, name, size, draw)
	return k.end(way, late, whole, q.id, other, draw)
}

// text is the whole right answer of a run.
func (w *randomWorkers) text(q *workerRequest, name string, size int, draw *rand.Rand) string {
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + q.id + "\r\nWorker-Seal: s\r\n"
	if strings.HasPrefix(q.URL.Path, "/pure") || strings.HasPrefix(q.URL.Path, "/effectful") {
		body := answerText(name, q.id, size)
		if draw.IntN(2) == 0 {
			return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		}
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	}
	from := 0
	_, _ = fmt.Sscan(q.Header.Get("Last-Event-Id"), &from)
	text := head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for n := from + 1; n <= streamEvents; n++ {
		e := eventText(n, q.id, name)
		text += fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
	}
	return text + "0\r\n\r\n"
}

// end writes what the way leaves of an answer, in one write; false ends the connection.
func (k *connState) end(way randomWay, late, whole, id, other string, draw *rand.Rand) bool {
	write := func(s string) { _, _ = io.WriteString(k, late+s) }
	head := strings.Index(whole, "\r\n\r\n") + 4
	swapped := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nWorker-Seal: s\r\nContent-Length: 5\r\n\r\nother", other)
	if other == id {
		swapped = ""
	}
	switch way {
	case refusesWithoutPromise:
		write("HTTP/1.1 503 No\r\nAttempt-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
	case fails:
		write("HTTP/1.1 500 No\r\nAttempt-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
	case closesSilently:
		return false
	case resetsSilently:
		k.reset()
		return false
	case cutsHead:
		write(whole[:draw.IntN(head)])
		return false
	case cutsBody:
		write(whole[:head+draw.IntN(len(whole)-head)])
		return false
	case garbles:
		write("\x16\x03\x01 no answer\r\n\r\n")
	case leavesIDOut:
		write(strings.Replace(whole, "Attempt-Id: "+id+"\r\n", "", 1))
	case swaps:
		write(swapped)
		return false
	case swapsFirst:
		write(swapped + whole)
	case doubles:
		write(whole + whole)
	case doublesLate:
		k.late = whole
		write(whole)
	case addsBytes:
		write(whole + "surplus")
	case addsRefusal:
		k.late = "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		write(whole)
	case announcesMore:
		write(strings.Replace(whole[:head], "Content-Length: ", "Content-Length: 1", 1) + whole[head:len(whole)-3])
		return false
	default:
		write(whole)
	}
	return true
}
