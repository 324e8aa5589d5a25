// Package netfault provides listeners that simulate network faults. Only tests and test programs use it.
package netfault

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// fillerTimeout limits an attempt to connect while the queue is filled. On loopback an answered attempt takes far less.
const fillerTimeout = 100 * time.Millisecond

// Listener is a loopback listener that can become a black hole: it then answers no attempt to connect, like a machine
// without power.
type Listener struct {
	net.Listener
	mu         sync.Mutex
	changed    sync.Cond
	blackholed bool
	closed     bool
	accepting  int                 // calls of Accept that take the next connection, even after Blackhole
	fillers    map[string]net.Conn // connections that fill the queue, by their local address
	held       []net.Conn          // connections accepted while Blackhole filled the queue
}

// Listen opens a Listener that answers. Its queue of new connections is the shortest that the kernel allows.
func Listen() (*Listener, error) {
	inner, err := listenWithShortestQueue()
	if err != nil {
		return nil, fmt.Errorf("netfault: %w", err)
	}
	l := &Listener{Listener: inner, fillers: map[string]net.Conn{}}
	l.changed.L = &l.mu
	return l, nil
}

func listenWithShortestQueue() (net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	return net.FileListener(file)
}

// Blackhole fills the queue of new connections, so that the kernel drops further attempts to connect.
func (l *Listener) Blackhole() error {
	l.mu.Lock()
	l.blackholed = true
	accepting := l.accepting
	l.mu.Unlock()
	for range accepting { // each takes one more connection from the queue
		if err := l.addFiller(); err != nil {
			return err
		}
	}
	l.awaitAccepted()
	for {
		full, err := l.queueFull()
		if err != nil {
			return fmt.Errorf("netfault: %w", err)
		}
		if full {
			return nil
		}
		if err := l.addFiller(); err != nil {
			return err
		}
	}
}

// addFiller adds one connection to the queue, unless it is full.
func (l *Listener) addFiller() error {
	c, err := net.DialTimeout("tcp", l.Addr().String(), fillerTimeout)
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return nil
	}
	if err != nil {
		return fmt.Errorf("netfault: %w", err)
	}
	l.mu.Lock()
	l.fillers[c.LocalAddr().String()] = c
	l.mu.Unlock()
	return nil
}

// awaitAccepted waits until no call of Accept takes a connection.
func (l *Listener) awaitAccepted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.accepting > 0 && !l.closed {
		l.changed.Wait()
	}
}

// queueFull reports whether the queue of new connections is full in the kernel. For a listener, TCP_INFO has their number in
// Unacked and the limit in Sacked.
func (l *Listener) queueFull() (bool, error) {
	raw, err := l.Listener.(syscall.Conn).SyscallConn()
	if err != nil {
		return false, err
	}
	var info *unix.TCPInfo
	var optionError error
	err = raw.Control(func(fd uintptr) { info, optionError = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err = errors.Join(err, optionError); err != nil {
		return false, err
	}
	return info.Unacked > info.Sacked, nil
}

// Restore answers connections again and closes those that were made since Blackhole.
func (l *Listener) Restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blackholed = false
	l.closeHeld()
	l.changed.Broadcast()
}

// closeHeld closes the connections that fill the queue. Callers must hold the lock.
func (l *Listener) closeHeld() {
	for _, c := range l.fillers {
		c.Close()
	}
	for _, c := range l.held {
		c.Close()
	}
	l.held = nil
}

// Accept returns the next connection that arrives while the listener is not a black hole.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.beginAccept()
		c, err := l.Listener.Accept()
		deliver := err == nil && l.shouldDeliver(c)
		l.endAccept()
		if err != nil {
			return nil, err
		}
		if deliver {
			return c, nil
		}
	}
}

// beginAccept waits while the listener is a black hole. The caller may then take a connection, and must call endAccept.
func (l *Listener) beginAccept() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.blackholed && !l.closed {
		l.changed.Wait()
	}
	l.accepting++
}

func (l *Listener) endAccept() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepting--
	l.changed.Broadcast()
}

// shouldDeliver reports whether Accept may return a connection. One that arrived after Blackhole is held.
func (l *Listener) shouldDeliver(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	remote := c.RemoteAddr().String()
	switch {
	case l.blackholed:
		l.held = append(l.held, c)
	case l.fillers[remote] != nil:
		delete(l.fillers, remote)
		c.Close()
	default:
		return true
	}
	return false
}

// Close closes the listener and wakes waiting calls of Accept.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.closeHeld()
	l.changed.Broadcast()
	return l.Listener.Close()
}
