package standin

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

var addrCount atomic.Uint32

// FreeAddr returns a loopback address, with a port chosen by the kernel, that nothing else takes before it is used: each
// call uses an IP address of its own, while outgoing connections on this machine have the source address 127.0.0.1.
func FreeAddr() (string, error) {
	n, pid := addrCount.Add(1), os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+n%250, pid>>8&255, max(1, pid&255)))
	if err != nil {
		return "", fmt.Errorf("standin: %w", err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
