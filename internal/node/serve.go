package node

import (
	"errors"
	"net"

	"seamshunt/internal/listener"
)

var errServerEnded = errors.New("node: it stopped accepting connections")

// Serve has a server answer on a listener until StopServing is called. One that ends before is logged, and started again on a new
// listener at the same address.
func (t *Base) Serve(name string, ln net.Listener, serve func(net.Listener) error) {
	addr := ln.Addr().String()
	run := func() error {
		if ln == nil {
			again, err := listener.Listen(addr)
			if err != nil {
				return err
			}
			ln = again
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
		t.Log.WithError(err).WithField("server", name).Error("a server ended; it is started again")
	})
}

// StopServing says that servers end from now on because they are to.
func (t *Base) StopServing() { t.stopping.Store(true) }

// connectionsUnbounded is how many connections callers may hold where nobody said how many descriptors there are.
const connectionsUnbounded = 65536

// MaxClientConnections gives how many connections callers may hold: half of the descriptors. The rest is for other nodes, workers, the
// platform and files; without them a process would neither hear of changes nor reach a worker.
func (t *Base) MaxClientConnections() int {
	if t.Settings.MaxDescriptors == 0 {
		return connectionsUnbounded
	}
	return max(1, t.Settings.MaxDescriptors/2)
}
