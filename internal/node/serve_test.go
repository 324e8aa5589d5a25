package node

import (
	"errors"
	"net"
	"testing"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/listener"
	"seamshunt/internal/settings"
	"seamshunt/internal/testutil"
)

// TestServerThatEndsIsStartedAgain checks that a server is restarted at the same address until StopServing is called.
func TestServerThatEndsIsStartedAgain(t *testing.T) {
	b := New(&settings.Settings{Name: "n"}, 1, membership.Router)
	defer b.Tasks.Stop(time.Second)
	addr := testutil.FreeAddr(t)
	ln, err := listener.Listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	serving, result := make(chan net.Listener), make(chan error)
	b.Serve("test", ln, func(ln net.Listener) error {
		serving <- ln
		return <-result
	})
	for _, cause := range []error{nil, errors.New("broken"), nil} {
		if ln := <-serving; ln.Addr().String() != addr {
			t.Errorf("the server listens at %v, want %s", ln.Addr(), addr)
		}
		result <- cause
	}
	<-serving
	b.StopServing()
	result <- nil
	testutil.WaitUntil(t, "the address is free", func() bool {
		free, err := net.Listen("tcp", addr)
		if err == nil {
			free.Close()
		}
		return err == nil
	})
}
