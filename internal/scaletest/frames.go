package scaletest

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"seamshunt/internal/cluster/message"
	"seamshunt/internal/cluster/transport"
	"seamshunt/internal/tasks"
	"seamshunt/internal/units"
)

// MeasureFrames sends real frames of some size over loopback by the daemons' own wires, one at a time as a quiet node's go,
// and gives the processor time of one, sent and taken.
func MeasureFrames(n, size int) (time.Duration, error) {
	c := tasks.New(clockwork.NewRealClock(), 4)
	defer c.Stop(time.Second)
	var came atomic.Int64
	wake := make(chan struct{}, 1)
	addrs := make([]string, 2)
	for i := range addrs {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, fmt.Errorf("hollow: %w", err)
		}
		addrs[i] = ln.Addr().String()
		ln.Close()
	}
	a, err := transport.Open(1, addrs[0], c, transport.Handlers{Receive: func(message.Message) {}})
	if err != nil {
		return 0, fmt.Errorf("hollow: %w", err)
	}
	defer a.Close()
	b, err := transport.Open(2, addrs[1], c, transport.Handlers{Receive: func(message.Message) {
		c.Do(func() {
			came.Add(1)
			wake <- struct{}{}
		})
	}})
	if err != nil {
		return 0, fmt.Errorf("hollow: %w", err)
	}
	defer b.Close()
	a.SetAddr(2, addrs[1])
	body := make([]byte, size)
	from := time.Duration(0)
	for i := range n + 100 {
		if i == 100 { // the wire stands
			from = cpu()
		}
		a.Send(message.Message{To: units.NodeID(2), Kind: message.KindMembership, Body: body})
		select {
		case <-wake:
		case <-time.After(5 * time.Second):
			return 0, errors.New("hollow: a frame did not come")
		}
	}
	return (cpu() - from) / time.Duration(n), nil
}
