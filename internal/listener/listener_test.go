package listener

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// scriptedListener returns these errors one by one, then connections.
type scriptedListener struct {
	net.Listener
	errs []error
}

func (s *scriptedListener) Accept() (net.Conn, error) {
	if len(s.errs) == 0 {
		c, _ := net.Pipe()
		return c, nil
	}
	err := s.errs[0]
	s.errs = s.errs[1:]
	return nil, err
}

func (s *scriptedListener) Close() error { return nil }

func acceptError(e syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", e)}
}

// Accept waits during a shortage, longer each time up to a limit, and then returns the next connection.
func TestAcceptRetriesDuringShortages(t *testing.T) {
	var errs []error
	for range 3 {
		errs = append(errs, acceptError(syscall.EMFILE), acceptError(syscall.ENFILE), acceptError(syscall.ENOBUFS), acceptError(syscall.ENOMEM))
	}
	var waits []time.Duration
	ready := make(chan time.Time)
	close(ready)
	l := newRetrying(&scriptedListener{errs: errs}, func(d time.Duration) <-chan time.Time {
		waits = append(waits, d)
		return ready
	})
	c, err := l.Accept()
	if c == nil || err != nil {
		t.Fatalf("no connection after the shortage: %v", err)
	}
	if len(waits) != len(errs) || waits[0] != minWait || waits[1] != 2*minWait || waits[len(waits)-1] != maxWait {
		t.Fatalf("waits %v", waits)
	}
}

// Any other error ends Accept, and so does Close while it waits.
func TestAcceptEnds(t *testing.T) {
	l := newRetrying(&scriptedListener{errs: []error{net.ErrClosed}}, nil)
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Fatal(err)
	}
	waiting := make(chan struct{})
	l = newRetrying(&scriptedListener{errs: []error{acceptError(syscall.EMFILE)}}, func(time.Duration) <-chan time.Time {
		close(waiting)
		return nil
	})
	ended := make(chan error)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	<-waiting
	l.Close()
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Fatal(err)
	}
}
