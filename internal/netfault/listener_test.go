package netfault

import (
	"net"
	"testing"
	"time"
)

// answers says whether an attempt to connect is answered soon.
func answers(l *Listener) bool {
	c, err := net.DialTimeout("tcp", l.Addr().String(), fillerTimeout)
	if err != nil {
		return false
	}
	c.Close()
	return true
}

// A silent listener answers no attempt to connect; before and behind its silence it gives out every connection.
func TestBlackhole(t *testing.T) {
	l, err := Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	got := make(chan net.Conn)
	go func() {
		defer close(got)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			got <- c
		}
	}()
	for range 3 {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 10*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if s := <-got; s.RemoteAddr().String() != c.LocalAddr().String() {
			t.Fatal("another connection was given out")
		}
		c.Close()
		if err := l.Blackhole(); err != nil {
			t.Fatal(err)
		}
		for range 3 {
			if answers(l) {
				t.Fatal("it answers in its silence")
			}
		}
		l.Restore()
	}
}
