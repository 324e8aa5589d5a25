package netfault

import (
	"net"
	"testing"
	"time"
)

// isAnswered reports whether an attempt to connect is answered within fillerTimeout.
func isAnswered(l *Listener) bool {
	c, err := net.DialTimeout("tcp", l.Addr().String(), fillerTimeout)
	if err != nil {
		return false
	}
	c.Close()
	return true
}

// A listener answers no attempt to connect between Blackhole and Restore, and accepts every connection before and after.
func TestBlackhole(t *testing.T) {
	l, err := Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	accepted := make(chan net.Conn)
	go func() {
		defer close(accepted)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	for range 3 {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 10*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if s := <-accepted; s.RemoteAddr().String() != c.LocalAddr().String() {
			t.Fatal("Accept returned another connection")
		}
		c.Close()
		if err := l.Blackhole(); err != nil {
			t.Fatal(err)
		}
		for range 3 {
			if isAnswered(l) {
				t.Fatal("an attempt to connect was answered after Blackhole")
			}
		}
		l.Restore()
	}
}
