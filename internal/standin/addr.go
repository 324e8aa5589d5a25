package standin

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

var addrCount atomic.Uint32

// FreeAddr returns a loopback address with a port chosen by the kernel. Nothing else takes the address before it is used,
// because each call uses a separate IP address, and outgoing connections on this machine have the source address 127.0.0.1.
func FreeAddr() (string, error) {
	n, pid := addrCount.Add(1), os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+n%250, pid>>8&255, max(1, pid&255)))
	if err != nil {
		return "", fmt.Errorf("standin: %w", err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
