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
	"seamshunt/internal/partition"
	"seamshunt/internal/standin"
	"seamshunt/internal/tasks"
)

// process is one process of the fleet: a router, a controller or a worker.
type process struct {
	name, zone, kind string
	args             []string
	env              []string
	addr, httpAddr   string
	dataDir          string
	cmd              *exec.Cmd
	exited           chan struct{}
	paused           bool
}

// Fleet is a running deployment.
type Fleet struct {
	Deployment   *Deployment
	Dir          string
	BinDir       string
	WorkerFlags  []string // additional flags for the workers
	WorkerFaults map[string]string
	Journal      *standin.Journal
	Platform     *standin.Platform
	Tasks        *tasks.Group
	mu           sync.Mutex
	processes    map[string]*process
	startOrder   []string
	listener     net.Listener
	seeds        []string
	lossRules    []lossRule
	partitioned  []string
}

// NewEmpty returns a fleet without a deployment; the caller adds its processes with their arguments.
func NewEmpty(dir, bin string) (*Fleet, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("localfleet: %w", err)
	}
	old, _ := filepath.Glob(filepath.Join(dir, "*.jsonl"))
	if len(old) > 0 {
		return nil, fmt.Errorf("localfleet: %s contains the journals of an earlier run", dir)
	}
	f := &Fleet{Dir: dir, BinDir: bin, processes: map[string]*process{}, WorkerFaults: map[string]string{}, Tasks: tasks.New(clockwork.NewRealClock(), 1)}
	var err error
	f.Journal, err = standin.OpenJournal(filepath.Join(dir, "harness.jsonl"))
	return f, err
}

// AddProcess adds a process without starting it; kind is its program, httpAddr its HTTP address.
func (f *Fleet) AddProcess(name, zone, kind, httpAddr string, args, env []string) {
	f.register(&process{name: name, zone: zone, kind: kind, httpAddr: httpAddr, args: args, env: env})
}

// New prepares a fleet in dir: settings files, data directories and journals. No process runs yet.
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
	as, err := freeAddrs(2*len(d.Machines) + workers)
	if err != nil {
		return nil, err
	}
	if f.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, fmt.Errorf("localfleet: %w", err)
	}
	for i, m := range d.Machines {
		p := &process{name: m.Name, zone: m.Zone, kind: "router", addr: as[2*i], httpAddr: as[2*i+1]}
		if m.Disk {
			p.kind, p.dataDir = "controller", filepath.Join(dir, m.Name+".data")
		}
		if len(f.seeds) < 3 && m.Disk {
			f.seeds = append(f.seeds, p.addr)
		}
		f.register(p)
	}
	for _, p := range f.processes {
		if err := f.writeSettings(p); err != nil {
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

func (f *Fleet) register(p *process) {
	f.processes[p.name] = p
	f.startOrder = append(f.startOrder, p.name)
}

func (f *Fleet) addWorker(name, zone, addr string, age time.Duration) {
	p := &process{name: name, zone: zone, kind: "worker", httpAddr: addr}
	p.args = []string{"worker", "--name", name, "--pool", f.Deployment.Pool, "--zone", zone, "--listen", addr, "--journal", filepath.Join(f.Dir, name+".jsonl")}
	f.register(p)
	f.Platform.SetWorker(f.Deployment.Pool, config.Worker{ID: name, Addr: addr, Zone: zone, Age: age})
}

// writeSettings writes a process's settings file.
func (f *Fleet) writeSettings(p *process) error {
	b := map[string]any{"name": p.name, "zone": p.zone, "addr": p.addr, "web": p.httpAddr, "seeds": f.seeds, "drain_ms": 15000}
	if p.kind == "controller" {
		b["data"], b["founders"], b["platform"], b["pools"] = p.dataDir, f.Deployment.DiskCount(), f.listener.Addr().String(), []string{f.Deployment.Pool}
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
	f.Tasks.Go(func() { _ = f.Platform.Serve(f.listener) })
	for _, n := range f.startOrder {
		if err := f.Start(n); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) lookup(name string) (*process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.processes[name]
	if p == nil {
		return nil, fmt.Errorf("localfleet: no process is named %s", name)
	}
	return p, nil
}

// Start starts a process that is not running.
func (f *Fleet) Start(name string) error {
	p, err := f.lookup(name)
	if err != nil {
		return err
	}
	if p.cmd != nil {
		return fmt.Errorf("localfleet: %s is already running", name)
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
		return fmt.Errorf("localfleet: %w", err)
	}
	defer out.Close()
	c := exec.Command(filepath.Join(f.BinDir, bin), args...)
	c.Stdout, c.Stderr = out, out
	c.Env = append(append(os.Environ(), partition.FileEnv+"="+f.partitionFile(name)), p.env...)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return fmt.Errorf("localfleet: %w", err)
	}
	done := make(chan struct{})
	f.mu.Lock()
	p.cmd, p.exited, p.paused = c, done, false
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
