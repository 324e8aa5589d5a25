//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that reached a worker and began to run there.
type arrival struct {
	at           time.Time
	id, path     string
	worker, zone string
	method       string
}

// worker is a sound server of one service.
type worker struct {
	id, service, zone, addr string
	fleet                   *fleet
	work                    time.Duration
	mu                      sync.Mutex
	runs                    []arrival
}

func (w *worker) serve(ln net.Listener) {
	_ = http.Serve(ln, http.HandlerFunc(w.handle))
}

func (w *worker) handle(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		rw.Header().Set("Worker-Id", w.id)
		rw.WriteHeader(200)
		return
	}
	_, _ = io.ReadAll(r.Body)
	id := r.Header.Get("Attempt-Id")
	rw.Header().Set("Attempt-Id", id)
	if x := r.Header.Get("Expect-Worker"); x != "" && x != w.id {
		rw.Header().Set("Not-Run", "1")
		rw.WriteHeader(421)
		return
	}
	w.mu.Lock()
	w.runs = append(w.runs, arrival{at: time.Now(), id: id, path: r.URL.Path, worker: w.id, zone: w.zone, method: r.Method})
	w.mu.Unlock()
	w.fleet.say("worker %s in %s runs %s", w.id, w.zone, id)
	time.Sleep(w.work)
	rw.Header().Set("Worker-Seal", "seal."+id+"."+w.id)
	_, _ = fmt.Fprintf(rw, "answer of %s to %s", w.id, id)
}

// between gives the runs of a span of time.
func (w *worker) between(from, to time.Time) []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	var l []arrival
	for _, a := range w.runs {
		if a.at.After(from) && a.at.Before(to) {
			l = append(l, a)
		}
	}
	return l
}
