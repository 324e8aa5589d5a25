package localfleet

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"seamshunt/internal/config"
	"seamshunt/internal/shield"
	"seamshunt/internal/standin"
	"seamshunt/internal/tasks"
)

// proc is one process of the fleet.
type proc struct {
	name, zone, kind string
	args             []string
	env              []string
	addr, web        string
	data             string
	cmd              *exec.Cmd
	done             chan struct{}
	frozen           bool
}

// Fleet is a deployment that runs.
type Fleet struct {
	Deployment   *Deployment
	Dir          string
	BinDir       string
	WorkerFlags  []string // further flags for the workers
	WorkerFaults map[string]string
	Journal      *standin.Journal
	Platform     *standin.Platform
	Tasks        *tasks.Group
	mu           sync.Mutex
	procs        map[string]*proc
	order        []string
	ln           net.Listener
	seeds        []string
	parted       []parting
	cutOn        []string
}

// NewEmpty begins a fleet without a deployment: whoever adds its processes says what each is told.
func NewEmpty(dir, bin string) (*Fleet, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	old, _ := filepath.Glob(filepath.Join(dir, "*.jsonl"))
	if len(old) > 0 {
		return nil, fmt.Errorf("fleet: %s holds the journals of an earlier run", dir)
	}
	f := &Fleet{Dir: dir, BinDir: bin, procs: map[string]*proc{}, WorkerFaults: map[string]string{}, Tasks: tasks.New(clockwork.NewRealClock(), 1)}
	var err error
	f.Journal, err = standin.Open(filepath.Join(dir, "harness.jsonl"))
	return f, err
}

// AddProcess lays one process out; kind is its program, web is where it is reached.
func (f *Fleet) AddProcess(name, zone, kind, web string, args, env []string) {
	f.add(&proc{name: name, zone: zone, kind: kind, web: web, args: args, env: env})
}

// New lays a fleet out in dir: boot files, data folders, journals. Nothing runs yet.
func New(d *Deployment, dir, bin string, perSec int) (*Fleet, error) {
	f, err := NewEmpty(dir, bin)
	if err != nil {
		return nil, err
	}
	f.Deployment, f.Platform = d, standin.NewPlatform(perSec)
	workers := 0
	for _, w := range d.Workers {
		workers += w.Count
	}
	as, err := ports(2*len(d.Machines) + workers)
	if err != nil {
		return nil, err
	}
	if f.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	for i, m := range d.Machines {
		p := &proc{name: m.Name, zone: m.Zone, kind: "router", addr: as[2*i], web: as[2*i+1]}
		if m.Disk {
			p.kind, p.data = "controller", filepath.Join(dir, m.Name+".data")
		}
		if len(f.seeds) < 3 && m.Disk {
			f.seeds = append(f.seeds, p.addr)
		}
		f.add(p)
	}
	for _, p := range f.procs {
		if err := f.boot(p); err != nil {
			return nil, err
		}
	}
	as, k := as[2*len(d.Machines):], 0
	for _, w := range d.Workers {
		for range w.Count {
			k++
			f.addWorker(fmt.Sprintf("w%02d", k), w.Zone, as[k-1], time.Hour)
		}
	}
	return f, nil
}

func (f *Fleet) add(p *proc) {
	f.procs[p.name] = p
	f.order = append(f.order, p.name)
}

func (f *Fleet) addWorker(name, zone, addr string, age time.Duration) {
	p := &proc{name: name, zone: zone, kind: "worker", web: addr}
	p.args = []string{"worker", "--name", name, "--pool", f.Deployment.Pool, "--zone", zone, "--listen", addr, "--journal", filepath.Join(f.Dir, name+".jsonl")}
	f.add(p)
	f.Platform.Set(f.Deployment.Pool, config.Worker{ID: name, Addr: addr, Zone: zone, Age: age})
}

// boot writes a process's boot file.
func (f *Fleet) boot(p *proc) error {
	b := map[string]any{"name": p.name, "zone": p.zone, "addr": p.addr, "web": p.web, "seeds": f.seeds, "drain_ms": 15000}
	if p.kind == "controller" {
		b["data"], b["founders"], b["platform"], b["pools"] = p.data, f.Deployment.DiskCount(), f.ln.Addr().String(), []string{f.Deployment.Pool}
		b["poll_ms"], b["reserve_bytes"] = 500, 1<<20
	}
	path := filepath.Join(f.Dir, p.name+".boot.json")
	p.args = []string{"run", "--boot", path}
	x, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, x, 0o644)
}

// StartAll starts every process.
func (f *Fleet) StartAll() error {
	f.Tasks.Go(func() { _ = f.Platform.Serve(f.ln) })
	for _, n := range f.order {
		if err := f.Start(n); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) get(name string) (*proc, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.procs[name]
	if p == nil {
		return nil, fmt.Errorf("fleet: nothing is called %s", name)
	}
	return p, nil
}

// Start runs a process that does not run.
func (f *Fleet) Start(name string) error {
	p, err := f.get(name)
	if err != nil {
		return err
	}
	if p.cmd != nil {
		return fmt.Errorf("fleet: %s runs already", name)
	}
	bin := map[string]string{"router": "router", "controller": "controller", "worker": "testbed"}[p.kind]
	args := append([]string(nil), p.args...)
	if p.kind == "worker" {
		args = append(args, f.WorkerFlags...)
		if w := f.WorkerFaults[name]; w != "" {
			args = append(args, "--wrong", w)
		}
	}
	out, err := os.OpenFile(filepath.Join(f.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	defer out.Close()
	c := exec.Command(filepath.Join(f.BinDir, bin), args...)
	c.Stdout, c.Stderr = out, out
	c.Env = append(append(os.Environ(), shield.Env+"="+f.cutFile(name)), p.env...)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	done := make(chan struct{})
	f.mu.Lock()
	p.cmd, p.done, p.frozen = c, done, false
	f.mu.Unlock()
	f.Tasks.Go(func() {
		_ = c.Wait()
		f.mu.Lock()
		p.cmd = nil
		f.mu.Unlock()
		close(done)
	})
	return nil
}
