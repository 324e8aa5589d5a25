//go:build review

package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"seamshunt/platform/standin"
)

const host = "desk.example"

var askRoute = standin.Route{Name: "ask", Host: host, Prefix: "/ask/", Variant: "pure", DeadlineMs: 15000, GoalMs: 500, Tries: 2, Target: "llm"}

// document is a small configuration.
func document(generation uint64, routes ...standin.Route) standin.Doc {
	return standin.Doc{Generation: generation, Routes: routes, Targets: []standin.Service{{Name: "llm", Probe: "/health", Conns: 200, Protocol: "h1"}},
		Limits: &standin.Bounds{Head: 16384, Body: 1 << 20, HeadMs: 3000, IdleMs: 15000}}
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// traffic sends one request after another to all fronts in turn until the context ends.
func (f *fleet) traffic(ctx context.Context, gap time.Duration) {
	cl := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; ctx.Err() == nil; i++ {
		m := f.site.Machines[i%len(f.site.Machines)]
		go func() {
			id := newID()
			req, _ := http.NewRequest("POST", "http://"+m.Front()+"/ask/q", bytes.NewReader([]byte("question "+id)))
			req.Host = host
			req.Header.Set("Attempt-Id", id)
			req.Header.Set("Time-Left-Ms", "3000")
			f.say("client sends %s to %s", id, m.Name)
			r, err := cl.Do(req)
			if err != nil {
				f.say("client got no answer to %s: %v", id, err)
				return
			}
			defer r.Body.Close()
			b, err := io.ReadAll(r.Body)
			f.say("client got %d %q %v for %s", r.StatusCode, b[:min(len(b), 60)], err, id)
		}()
		select {
		case <-ctx.Done():
		case <-time.After(gap):
		}
	}
}
