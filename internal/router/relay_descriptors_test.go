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

// isolatedProcessEnv is set in a separate test process, since a test that takes all descriptors would make parallel ones
// fail.
const isolatedProcessEnv = "SEAMSHUNT_TEST_ALONE"

// Without a free file descriptor a router refuses requests that it can't forward, as not run, and accepts connections
// again once there are free descriptors.
func TestDescriptorExhaustion(t *testing.T) {
	if os.Getenv(isolatedProcessEnv) == "" {
		cmd := exec.Command(os.Args[0], "-test.run=^TestDescriptorExhaustion$", "-test.v")
		cmd.Env = append(os.Environ(), isolatedProcessEnv+"=1")
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
		return
	}
	worker := newScriptedWorker(t, "i-1")
	v := newRelayRouter(t, worker)
	established := dialRelayClient(t, v)
	established.send("effectful", "a", "prompt")
	conn := <-worker.conns
	conn.request()
	conn.writeText("HTTP/1.1 200 OK\nAttempt-Id: a\nConnection: close\nContent-Length: 1\n\nx")
	if a := established.receive(); a.status != 200 {
		t.Fatalf("before: %+v", a)
	}
	conn.awaitClose()
	conn.Close()
	held := exhaustDescriptors(t)
	releaseOne := func() {
		syscall.Close(held[len(held)-1])
		held = held[:len(held)-1]
	}
	releaseOne()
	pending, err := net.Dial("tcp", v.Settings.HTTPAddr) // takes the last descriptor, so the router can't accept it
	if err != nil {
		t.Fatal(err)
	}
	established.send("effectful", "b", "prompt")
	if a := established.receive(); a.status != 503 || !noMoreConns(worker) {
		t.Errorf("without descriptors: %+v", a)
	}
	for len(held) > 0 {
		releaseOne()
	}
	_ = pending.SetDeadline(time.Now().Add(30 * time.Second))
	pendingClient := &testConn{pending, bufio.NewReader(pending)}
	pendingClient.send("unknown", "c", "prompt")
	if a := pendingClient.receive(); a.status != 404 {
		t.Fatalf("the client that waited to be accepted: %+v", a)
	}
	established.send("effectful", "d", "prompt")
	conn = <-worker.conns
	conn.request()
	conn.writeText("%s", responseText("d", "x"))
	if a := established.receive(); a.status != 200 || a.id != "d" {
		t.Errorf("afterwards: %+v", a)
	}
}

// exhaustDescriptors lowers this process's descriptor limit and takes all that are left.
func exhaustDescriptors(t *testing.T) (held []int) {
	t.Helper()
	var old syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	lowered := old
	lowered.Cur = 128
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &lowered); err != nil {
		t.Fatal(err)
	}
	for {
		fd, err := syscall.Dup(0)
		if err == syscall.EMFILE {
			return held
		}
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, fd)
	}
}
