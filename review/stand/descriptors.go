//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"seamshunt/platform/standin"
)

// The platform's max_fds, how many connections the clients open at one front in a burst, and how long they keep them.
const (
	maxFds    = 4100
	crowd     = 4200
	crowdFor  = 6 * time.Second
	applyIn   = 2 * time.Second // config_apply_ms
	touchIn   = 3 * time.Second // contact_ms
	judgedFor = 10 * time.Second
)

// limitFiles holds a program to the descriptors that its settings file names, as the platform does.
func (p *process) limitFiles() error {
	l := unix.Rlimit{Cur: maxFds, Max: maxFds}
	return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &l, nil)
}

// get sends one request on a connection and gives the whole answer's status and worker.
func get(c net.Conn, r *bufio.Reader, path, id string) (int, string, error) {
	_ = c.SetDeadline(time.Now().Add(4 * time.Second))
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Left-Ms: 3000\r\nContent-Length: 5\r\n\r\nhello", path, host, id)
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, string(b), err
}

// press has many clients connect to one front at once; each sends one request and keeps its connection for a while.
func (f *fleet) press(m standin.Machine, started chan<- int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered, open := 0, 0
	begun := time.Now()
	for i := range crowd {
		c, err := net.DialTimeout("tcp", m.Front(), time.Second)
		if err != nil {
			continue
		}
		open++
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer c.Close()
			if status, _, err := get(c, bufio.NewReader(c), "/ask/q", newID()); err == nil && status == 200 {
				mu.Lock()
				answered++
				mu.Unlock()
			}
			time.Sleep(time.Until(begun.Add(crowdFor + 2*time.Second)))
		}()
		if i%64 == 0 {
			time.Sleep(10 * time.Millisecond)
		}
	}
	f.say("clients hold %d connections to %s", open, m.Name)
	started <- open
	wg.Wait()
	f.say("the clients have gone; %d of them got an answer", answered)
}

// descriptors: many clients keep connections to one front, up to the descriptors that it may have. Meanwhile another machine's
// processes end and are started again. Then the crowd goes, and the configuration changes.
func descriptors(record string, trouble bool) (int, error) {
	f, err := newFleet(record, 3, 3, 3)
	if err != nil {
		return failed, err
	}
	defer f.down()
	for i := range 6 {
		service := "llm"
		if i >= 3 {
			service = "other"
		}
		if _, err := f.addWorker(fmt.Sprint(service, i+1), service, fmt.Sprintf("z%d", i%3+1)); err != nil {
			return failed, err
		}
	}
	if err := f.up(true); err != nil {
		return failed, err
	}
	for _, p := range f.procs {
		if err := p.limitFiles(); err != nil {
			return failed, err
		}
	}
	doc := document(1, askRoute)
	doc.Targets = append(doc.Targets, doc.Targets[0])
	doc.Targets[1].Name = "other"
	if !f.untilTaken("PUT", "/config", "0", jsonOf(doc), 20*time.Second, f.control()...) || !f.ready(20*time.Second) {
		return failed, errors.New("the fleet did not come up")
	}
	if err := f.settle(); err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second)
	clients, err := f.keepClients()
	if err != nil {
		return failed, err
	}
	a, b := f.site.Machines[0], f.site.Machines[1]
	if trouble {
		started := make(chan int, 1)
		gone := make(chan struct{})
		go func() { f.press(a, started); close(gone) }()
		if open := <-started; open < maxFds {
			return failed, fmt.Errorf("this machine opens only %d connections", open)
		}
		if err := f.restart(b); err != nil {
			return failed, err
		}
		<-gone
	}
	time.Sleep(5 * time.Second)
	if trouble { // the restart broke this one
		c, err := net.DialTimeout("tcp", b.Front(), time.Second)
		if err != nil {
			return failed, err
		}
		clients[1] = &keptClient{b, c, bufio.NewReader(c)}
	}
	doc.Generation, doc.Routes[0].Target = 2, "other"
	if !f.untilTaken("PUT", "/config", "1", jsonOf(doc), 20*time.Second, f.control()...) {
		return failed, errors.New("the change was not taken")
	}
	acked := time.Now()
	f.say("version 2 acknowledged: the route leads to the service other")
	time.Sleep(time.Until(acked.Add(applyIn + touchIn)))
	return f.judgeOld(acked, clients), nil
}

// restart ends a machine's programs and starts them again.
func (f *fleet) restart(m standin.Machine) error {
	f.signal(m.Name, syscall.SIGKILL)
	for _, program := range []string{"controller", "router"} {
		p := f.procs[m.Name+"."+program]
		<-p.done
		if err := f.launch(p); err != nil {
			return err
		}
		if err := p.limitFiles(); err != nil {
			return err
		}
	}
	f.say("machine %s runs again", m.Name)
	return nil
}

// keptClient is a client that holds one connection to a front all the time.
type keptClient struct {
	machine standin.Machine
	conn    net.Conn
	r       *bufio.Reader
}

// keepClients opens one connection to each front.
func (f *fleet) keepClients() (l []*keptClient, err error) {
	for _, m := range f.site.Machines {
		c, err := net.DialTimeout("tcp", m.Front(), time.Second)
		if err != nil {
			return nil, err
		}
		l = append(l, &keptClient{m, c, bufio.NewReader(c)})
	}
	return l, nil
}

// isReady asks a front whether it is ready, as the platform does.
func isReady(m standin.Machine) int {
	cl := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := cl.Get("http://" + m.Ready() + "/readiness")
	if err != nil {
		return 0
	}
	r.Body.Close()
	return r.StatusCode
}

// judgeOld sends requests over the kept connections, and over new ones where the platform would open any; it looks at those
// that the old service runs.
func (f *fleet) judgeOld(acked time.Time, clients []*keptClient) int {
	judged := map[string]bool{}
	for time.Since(acked) < applyIn+touchIn+judgedFor {
		for _, k := range clients {
			id := newID()
			judged[id] = true
			since := time.Since(acked).Seconds()
			status, body, err := get(k.conn, k.r, "/ask/q", id)
			f.say("%.1f s after the acknowledgement, kept connection: %s answers %d %q %v", since, k.machine.Name, status, body, err)
			ready := isReady(k.machine)
			f.say("readiness of %s: %d", k.machine.Name, ready)
			if ready != 200 {
				continue
			}
			if c, err := net.DialTimeout("tcp", k.machine.Front(), time.Second); err == nil {
				id := newID()
				judged[id] = true
				status, body, err := get(c, bufio.NewReader(c), "/ask/q", id)
				f.say("%.1f s after the acknowledgement, new connection: %s answers %d %q %v", since, k.machine.Name, status, body, err)
				c.Close()
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	n := 0
	for _, w := range f.workers[:3] {
		for _, a := range w.between(acked, time.Now()) {
			if judged[a.id] {
				n++
			}
		}
	}
	f.say("of %d requests sent more than 5 s after the acknowledgement the old service ran %d", len(judged), n)
	if n > 0 {
		return broken
	}
	return kept
}
