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

// MeasureFrames sends n real frames of a size over loopback with the daemons' transport, one at a time as an idle node
// does, and returns the processor time to send and receive one.
func MeasureFrames(n, size int) (time.Duration, error) {
	group := tasks.New(clockwork.NewRealClock(), 4)
	defer group.Stop(time.Second)
	var received atomic.Int64
	arrived := make(chan struct{}, 1)
	addrs := make([]string, 2)
	for i := range addrs {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, fmt.Errorf("scaletest: %w", err)
		}
		addrs[i] = listener.Addr().String()
		listener.Close()
	}
	sender, err := transport.Open(1, addrs[0], group, transport.Handlers{Receive: func(message.Message) {}})
	if err != nil {
		return 0, fmt.Errorf("scaletest: %w", err)
	}
	defer sender.Close()
	receiver, err := transport.Open(2, addrs[1], group, transport.Handlers{Receive: func(message.Message) {
		group.Do(func() {
			received.Add(1)
			arrived <- struct{}{}
		})
	}})
	if err != nil {
		return 0, fmt.Errorf("scaletest: %w", err)
	}
	defer receiver.Close()
	sender.SetAddr(2, addrs[1])
	body := make([]byte, size)
	startCPU := time.Duration(0)
	for i := range n + 100 {
		if i == 100 { // the connection is established
			startCPU = processCPU()
		}
		sender.Send(message.Message{To: units.NodeID(2), Kind: message.KindMembership, Body: body})
		select {
		case <-arrived:
		case <-time.After(5 * time.Second):
			return 0, errors.New("scaletest: a frame did not arrive")
		}
	}
	return (processCPU() - startCPU) / time.Duration(n), nil
}
