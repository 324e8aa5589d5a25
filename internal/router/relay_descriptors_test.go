package router

import (
	"bufio"
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// alone is set for a test process of its own: one that takes all descriptors would starve the others.
const alone = "SEAMSHUNT_TEST_ALONE"

// Without a free descriptor a router refuses honestly what it can't send on, and goes on accepting once there are
// some again.
func TestDescriptorsShort(t *testing.T) {
	if os.Getenv(alone) == "" {
		cmd := exec.Command(os.Args[0], "-test.run=^TestDescriptorsShort$", "-test.v")
		cmd.Env = append(os.Environ(), alone+"=1")
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
		return
	}
	w := newScriptedWorker(t, "i-1")
	v := relayRig(t, w)
	known := clientConn(t, v)
	known.send("effectful", "a", "prompt")
	k := <-w.conns
	k.request()
	k.say("HTTP/1.1 200 OK\nAttempt-Id: a\nConnection: close\nContent-Length: 1\n\nx")
	if a := known.receive(); a.status != 200 {
		t.Fatalf("before: %+v", a)
	}
	k.closedByRouter()
	k.Close()
	taken := takeDescriptors(t)
	give := func() {
		syscall.Close(taken[len(taken)-1])
		taken = taken[:len(taken)-1]
	}
	give()
	late, err := net.Dial("tcp", v.Settings.HTTPAddr) // takes the last descriptor, so nobody can accept it
	if err != nil {
		t.Fatal(err)
	}
	known.send("effectful", "b", "prompt")
	if a := known.receive(); a.status != 503 || !none(w) {
		t.Errorf("with no descriptor: %+v", a)
	}
	for len(taken) > 0 {
		give()
	}
	_ = late.SetDeadline(time.Now().Add(30 * time.Second))
	waited := &workerConn{late, bufio.NewReader(late)}
	waited.send("unknown", "c", "prompt")
	if a := waited.receive(); a.status != 404 {
		t.Fatalf("who waited to be accepted: %+v", a)
	}
	known.send("effectful", "d", "prompt")
	k = <-w.conns
	k.request()
	k.say("%s", answer("d", "x"))
	if a := known.receive(); a.status != 200 || a.id != "d" {
		t.Errorf("afterwards: %+v", a)
	}
}

// takeDescriptors lowers this process's limit and takes all that are left.
func takeDescriptors(t *testing.T) (taken []int) {
	t.Helper()
	var old syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	few := old
	few.Cur = 128
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &few); err != nil {
		t.Fatal(err)
	}
	for {
		fd, err := syscall.Dup(0)
		if err == syscall.EMFILE {
			return taken
		}
		if err != nil {
			t.Fatal(err)
		}
		taken = append(taken, fd)
	}
}
