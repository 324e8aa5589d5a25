//go:build review

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// memoryMB is what the settings files give each process; maxBody is what the configuration lets a client send.
const (
	memoryMB = 244
	maxBody  = 4 << 20
)

// resident gives a process's resident memory in MB.
func resident(pid int) int {
	b, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			n, _ := strconv.Atoi(f[1])
			return n >> 10
		}
	}
	return 0
}

// The load on one front: requests of the largest size each second, how many times that in a burst and for how long, and how
// long a worker takes for one.
const (
	usualRate = 3.0
	burstX    = 2.5
	burstFor  = 10 * time.Second
	loadFor   = 16 * time.Second
	answerIn  = 6 * time.Second
	held      = 80 // connections that the clients keep
)

// client is one kept connection of a client.
type client struct {
	f *fleet
	n int
	net.Conn
	r *bufio.Reader
}

// errCut says that a connection ended without an answer.
var errCut = errors.New("the connection ends without an answer")

// ask sends one request and waits for its answer.
func (c *client) ask(body []byte) (id string, err error) {
	id = newID()
	c.f.say("client %d sends %s, %d bytes", c.n, id, len(body))
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprintf(c, "POST /ask/q HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Left-Ms: 15000\r\nContent-Length: %d\r\n\r\n", host, id, len(body))
	if _, err := c.Write(body); err != nil {
		c.f.say("client %d: %s: not sent whole: %v", c.n, id, err)
		return id, err
	}
	a, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.f.say("client %d: %s ends without an answer (%v); it ran: %v", c.n, id, err, c.f.ran(id))
		return id, errCut
	}
	got, err := io.ReadAll(a.Body)
	c.f.say("client %d: %s: %d, %d bytes, %v", c.n, id, a.StatusCode, len(got), err)
	return id, err
}

// limitMemory is the platform's: a process that goes over memory_mb is killed. It gives the most that was seen.
func (f *fleet) limitMemory(p *process, stop <-chan struct{}) (most int) {
	for dead := false; ; {
		n := resident(p.cmd.Process.Pid)
		if most = max(most, n); n > memoryMB && !dead {
			dead = true
			f.say("platform: %s holds %d MB, over memory_mb %d: killed", p.name, n, memoryMB)
			_ = p.cmd.Process.Kill()
		}
		select {
		case <-stop:
			return most
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// largeBodies: clients send bodies of the largest size that the configuration allows to one front, and then more of them at once.
func largeBodies(record string, trouble bool) (int, error) {
	f, err := newFleet(record, 3, 3, 3)
	if err != nil {
		return failed, err
	}
	defer f.down()
	for i := range 6 {
		w, err := f.addWorker(fmt.Sprint("w", i+1), "llm", fmt.Sprintf("z%d", i%3+1))
		if err != nil {
			return failed, err
		}
		w.work = answerIn
	}
	if err := f.up(true); err != nil {
		return failed, err
	}
	doc := document(1, askRoute)
	doc.Limits.Body = maxBody
	if !f.untilTaken("PUT", "/config", "0", jsonOf(doc), 20*time.Second, f.control()...) || !f.ready(20*time.Second) {
		return failed, errors.New("the fleet did not come up")
	}
	time.Sleep(4 * time.Second)
	m := f.site.Machines[0]
	idle := make(chan *client, held)
	if err := f.keepConnections(m.Front(), idle); err != nil {
		return failed, err
	}
	stop, peak := make(chan struct{}), make(chan int)
	go func() { peak <- f.limitMemory(f.procs[m.Name+".router"], stop) }()
	cut := f.load(idle, trouble)
	close(stop)
	most := <-peak
	f.say("most resident memory of the router: %d MB; %d requests were passed on from a kept connection and ended without an answer", most, cut)
	if cut > 3 {
		return broken, nil
	}
	return kept, nil
}

// keepConnections opens the clients' connections, and has each carry a small request.
func (f *fleet) keepConnections(front string, idle chan *client) error {
	var wg sync.WaitGroup
	for i := range held {
		nc, err := net.Dial("tcp", front)
		if err != nil {
			return err
		}
		c := &client{f: f, n: i, Conn: nc, r: bufio.NewReader(nc)}
		wg.Add(1)
		go func() {
			defer wg.Done()
			if _, err := c.ask([]byte("small")); err == nil {
				idle <- c
			}
		}()
	}
	wg.Wait()
	if len(idle) < held {
		return errors.New("not all clients got their first answer")
	}
	return nil
}

// load sends the large requests, and gives how many ran and ended without an answer.
func (f *fleet) load(idle chan *client, trouble bool) int {
	var wg sync.WaitGroup
	var cut atomic.Int64
	body := bytes.Repeat([]byte("flood "), maxBody/6)
	begun := time.Now()
	for time.Since(begun) < loadFor {
		rate := usualRate
		if trouble && time.Since(begun) > loadFor-burstFor {
			rate *= burstX
		}
		select {
		case c := <-idle:
			wg.Add(1)
			go func() {
				defer wg.Done()
				id, err := c.ask(body)
				if err == nil {
					idle <- c
				} else if errors.Is(err, errCut) && f.ran(id) {
					cut.Add(1)
				}
			}()
		default: // all clients wait for an answer
		}
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	wg.Wait()
	return int(cut.Load())
}

// ran says whether a request has run at any worker.
func (f *fleet) ran(id string) bool {
	for _, w := range f.workers {
		w.mu.Lock()
		for _, a := range w.runs {
			if a.id == id {
				w.mu.Unlock()
				return true
			}
		}
		w.mu.Unlock()
	}
	return false
}
