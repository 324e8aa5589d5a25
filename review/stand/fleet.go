//go:build review

// Command stand starts a small fleet of the project's programs beside stand-ins, brings one disruption about and judges.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"seamshunt/internal/tasks"
	"seamshunt/platform/standin"

	"github.com/jonboulle/clockwork"
)

// process is one program of the project that runs.
type process struct {
	name, program, settings string
	cmd                     *exec.Cmd
	done                    chan struct{}
}

// fleet is a deployment on loopback addresses, with its stand-ins and its record.
type fleet struct {
	dir     string
	start   time.Time
	record  *os.File
	mu      sync.Mutex
	tasks   *tasks.Group
	site    standin.Site
	list    *standin.List
	workers []*worker
	procs   map[string]*process
	memory  int // memory_mb of all settings files; the stand-in's own if 0
}

// say writes one line into the record.
func (f *fleet) say(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, args...))
}

// newFleet lays a deployment out; nothing runs yet.
func newFleet(record string, machines, zones, disks int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, start: time.Now(), record: file, tasks: tasks.New(clockwork.NewRealClock(), 4), procs: map[string]*process{},
		list: &standin.List{Rate: 44, Lag: 800 * time.Millisecond, Page: 50}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = f.list.Serve(ln) }()
	f.site = standin.Site{Machines: standin.Machines(machines, zones, disks), List: ln.Addr().String(), Rate: 44, LagMs: 800, GraceS: 8}
	return f, nil
}

// addWorker starts a worker and lists it.
func (f *fleet) addWorker(id, service, zone string) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: service, zone: zone, fleet: f, addr: ln.Addr().String()}
	f.workers = append(f.workers, w)
	go w.serve(ln)
	f.list.Set(standin.Instance{ID: id, Service: service, Addr: w.addr, Zone: zone, Slots: 64})
	return w, nil
}

// up starts every program; the settings say whether this is the very first start.
func (f *fleet) up(first bool) error {
	for _, m := range f.site.Machines {
		for _, program := range []string{"controller", "router"} {
			if program == "controller" && !m.Disk {
				continue
			}
			path, err := f.settings(m, program, first)
			if err != nil {
				return err
			}
			p := &process{name: m.Name + "." + program, program: program, settings: path}
			f.procs[p.name] = p
			if err := f.launch(p); err != nil {
				return err
			}
		}
	}
	return nil
}

// settle writes the settings files of all later starts.
func (f *fleet) settle() error {
	for _, p := range f.procs {
		for _, m := range f.site.Machines {
			if p.name == m.Name+"."+p.program {
				if _, err := f.settings(m, p.program, false); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// launch starts a program with the command of the deploy file.
func (f *fleet) launch(p *process) error {
	out, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/"+p.program, "serve")
	cmd.Env = append(os.Environ(), "SEAMSHUNT_BOOT="+p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.done = cmd, make(chan struct{})
	done := p.done
	go func() {
		err := cmd.Wait()
		f.say("process %s ended: %v", p.name, err)
		out.Close()
		close(done)
	}()
	return nil
}

// signal sends a signal to every program of a machine.
func (f *fleet) signal(machine string, s syscall.Signal) {
	f.say("signal %v to machine %s", s, machine)
	for _, program := range []string{"controller", "router"} {
		if p := f.procs[machine+"."+program]; p != nil {
			_ = p.cmd.Process.Signal(s)
		}
	}
}

// down ends every program that was started.
func (f *fleet) down() {
	for _, p := range f.procs {
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	f.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	}
}

// order sends one call of the operator to one control node, on a connection of its own, and gives the status, 0 for none.
func (f *fleet) order(at standin.Machine, method, path, match string, body []byte) (int, []byte) {
	limit := time.Second + time.Duration(len(body)/1000)*time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at.Control()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if match != "" {
		req.Header.Set("If-Match", match)
	}
	cl := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := cl.Do(req)
	if err != nil {
		f.say("order %s %s at %s: no answer (%v)", method, path, at.Name, err)
		return 0, nil
	}
	defer r.Body.Close()
	b, _ := io.ReadAll(r.Body)
	f.say("order %s %s at %s: %d %s", method, path, at.Name, r.StatusCode, bytes.TrimSpace(b[:min(len(b), 200)]))
	return r.StatusCode, b
}

// untilTaken sends an order to the machines in turn until one acknowledges it.
func (f *fleet) untilTaken(method, path, match string, body []byte, limit time.Duration, machines ...standin.Machine) bool {
	pause := 20 * time.Millisecond
	for end, i := time.Now().Add(limit), 0; time.Now().Before(end); i++ {
		status, _ := f.order(machines[i%len(machines)], method, path, match, body)
		if status/100 == 2 {
			return true
		}
		time.Sleep(pause)
		pause = min(2*pause, 500*time.Millisecond)
	}
	return false
}

// control lists the machines that serve control.
func (f *fleet) control() []standin.Machine {
	var l []standin.Machine
	for _, m := range f.site.Machines {
		if m.Disk {
			l = append(l, m)
		}
	}
	return l
}

// ready waits until every front calls itself ready.
func (f *fleet) ready(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, m := range f.site.Machines {
			cl := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
			if r, err := cl.Get("http://" + m.Ready() + "/readiness"); err == nil {
				r.Body.Close()
				if r.StatusCode == 200 {
					n++
				}
			}
		}
		if n == len(f.site.Machines) {
			return true
		}
	}
	return false
}
