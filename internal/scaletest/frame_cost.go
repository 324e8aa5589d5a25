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
	group := tasks.New(clockwork.NewRealClock(), 4)
	defer group.Stop(time.Second)
	var received atomic.Int64
	arrived := make(chan struct{}, 1)
	addrs := make([]string, 2)
	for i := range addrs {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, fmt.Errorf("hollow: %w", err)
		}
		addrs[i] = listener.Addr().String()
		listener.Close()
	}
	sender, err := transport.Open(1, addrs[0], group, transport.Handlers{Receive: func(message.Message) {}})
	if err != nil {
		return 0, fmt.Errorf("hollow: %w", err)
	}
	defer sender.Close()
	receiver, err := transport.Open(2, addrs[1], group, transport.Handlers{Receive: func(message.Message) {
		group.Do(func() {
			received.Add(1)
			arrived <- struct{}{}
		})
	}})
	if err != nil {
		return 0, fmt.Errorf("hollow: %w", err)
	}
	defer receiver.Close()
	sender.SetAddr(2, addrs[1])
	body := make([]byte, size)
	startCPU := time.Duration(0)
	for i := range n + 100 {
		if i == 100 { // the wire stands
			startCPU = processCPU()
		}
		sender.Send(message.Message{To: units.NodeID(2), Kind: message.KindMembership, Body: body})
		select {
		case <-arrived:
		case <-time.After(5 * time.Second):
			return 0, errors.New("hollow: a frame did not come")
		}
	}
	return (processCPU() - startCPU) / time.Duration(n), nil
}
