package console

import (
	"syscall"
	"testing"

	"seamshunt/internal/settings"
)

// fakeDaemon ends at once when it is started: its own warning comes with the start.
type fakeDaemon struct{ started, drained bool }

func (f *fakeDaemon) Start() error {
	f.started = true
	return syscall.Kill(syscall.Getpid(), syscall.SIGTERM)
}

func (f *fakeDaemon) Drain() { f.drained = true }

// A process that is told to read its settings again, or to dump its log, while it still starts goes on starting: without a
// handler either signal ends it.
func TestSignalsWhileStarting(t *testing.T) {
	d := &fakeDaemon{}
	create := func(*settings.Settings) (Daemon, error) {
		for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1} {
			if err := syscall.Kill(syscall.Getpid(), s); err != nil {
				return nil, err
			}
		}
		return d, nil
	}
	read := func() (*settings.Settings, error) { return &settings.Settings{}, nil }
	c := NewServeCommand(read, create, func(Daemon, *settings.Settings) {}, func(Daemon) {})
	c.SetArgs(nil)
	if err := c.Execute(); err != nil {
		t.Fatal(err)
	}
	if !d.started || !d.drained {
		t.Errorf("started %v, drained %v", d.started, d.drained)
	}
}
