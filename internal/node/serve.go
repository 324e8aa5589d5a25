package node

import (
	"errors"
	"net"

	"seamshunt/internal/listener"
)

var errServerEnded = errors.New("node: the server stopped accepting connections")

// Serve runs a server on a listener until StopServing is called. If the server ends before that, the error is logged and
// the server is restarted on a new listener at the same address.
func (t *Base) Serve(name string, ln net.Listener, serve func(net.Listener) error) {
	addr := ln.Addr().String()
	run := func() error {
		if ln == nil {
			reopened, err := listener.Listen(addr)
			if err != nil {
				return err
			}
			ln = reopened
		}
		err := serve(ln)
		ln.Close()
		ln = nil
		if t.stopping.Load() {
			return nil
		}
		return errors.Join(errServerEnded, err)
	}
	t.Tasks.Supervise(run, func(err error) {
		t.Log.WithError(err).WithField("server", name).Error("a server ended unexpectedly; restarting it")
	})
}

// StopServing makes Serve treat the end of a server as expected from now on.
func (t *Base) StopServing() { t.stopping.Store(true) }

// defaultMaxConnections limits clients' connections if the number of file descriptors is unknown.
const defaultMaxConnections = 65536

// MaxClientConnections returns the limit of clients' connections: half of the file descriptors. The rest is for other
// nodes, workers, the platform and files; without them a process would neither receive updates nor reach a worker.
func (t *Base) MaxClientConnections() int {
	if t.Settings.MaxDescriptors == 0 {
		return defaultMaxConnections
	}
	return max(1, t.Settings.MaxDescriptors/2)
}
