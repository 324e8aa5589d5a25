package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"seamshunt/internal/cluster/message"
)

func rec(k string, n int) message.Record {
	return message.Record{Kind: 3, Key: k, Data: fmt.Appendf(nil, "value %d of %s", n, k)}
}

func open(t *testing.T, dir string) *Log {
	t.Helper()
	a, err := Open(dir, 0)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func value(a *Log, k string) string {
	for _, r := range a.Records() {
		if r.Key == k {
			return string(r.Data)
		}
	}
	return ""
}

func fill(t *testing.T, dir string) []byte {
	t.Helper()
	a := open(t, dir)
	for i := range 3 {
		if err := a.Append([]message.Record{rec("a", i), rec("b", i)}); err != nil {
			t.Fatal(err)
		}
	}
	a.Close()
	b, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A file cut at any byte loses only whole records from its end, and goes on being written (design 3).
func TestTornTailAtEveryByte(t *testing.T) {
	whole := fill(t, t.TempDir())
	for cut := range len(whole) {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, name), whole[:cut], 0o644); err != nil {
			t.Fatal(err)
		}
		a := open(t, dir)
		n := a.seq
		if err := a.Append([]message.Record{rec("c", 9)}); err != nil {
			t.Fatal(err)
		}
		a.Close()
		a = open(t, dir)
		if a.seq != n+1 || value(a, "c") != "value 9 of c" {
			t.Fatalf("cut at %d: %d records before, %d after, c is %q", cut, n, a.seq, value(a, "c"))
		}
		a.Close()
	}
}

// A byte changed anywhere before the last append is damage and never a silently shorter file. In the last append it looks
// like a torn write of that, and costs nothing before.
func TestDamageAtEveryByte(t *testing.T) {
	whole := fill(t, t.TempDir())
	second := len(whole) - headLen - 1 - len("value 2 of b")
	first := second - headLen - 1 - len("value 2 of a")
	for at := range whole {
		dir := t.TempDir()
		b := append([]byte(nil), whole...)
		b[at] ^= 0x55
		if err := os.WriteFile(filepath.Join(dir, name), b, 0o644); err != nil {
			t.Fatal(err)
		}
		a, err := Open(dir, 0)
		if at < first {
			if !errors.Is(err, ErrDamaged) {
				t.Fatalf("byte %d changed: %v", at, err)
			}
			continue
		}
		want := "value 1 of a"
		if at >= second {
			want = "value 2 of a"
		}
		if err != nil || value(a, "a") != want || value(a, "b") != "value 1 of b" {
			t.Fatalf("byte %d of the last append changed: %v, a is %q, b is %q", at, err, value(a, "a"), value(a, "b"))
		}
		a.Close()
	}
}

// A long file is rewritten to what lives, and reads back the same.
func TestRewrite(t *testing.T) {
	dir := t.TempDir()
	a := open(t, dir)
	a.CompactionSize = 2000
	for i := range 500 {
		if err := a.Append([]message.Record{rec("a", i), rec("b", i)}); err != nil {
			t.Fatal(err)
		}
	}
	if a.Size() > 3000 {
		t.Errorf("%d bytes after the rewrite", a.Size())
	}
	a.Close()
	a = open(t, dir)
	if value(a, "a") != "value 499 of a" || value(a, "b") != "value 499 of b" {
		t.Errorf("read back %q, %q", value(a, "a"), value(a, "b"))
	}
}

// After a failed write the handle is never trusted again: not even for a write that would succeed.
func TestFailedWriteIsFinal(t *testing.T) {
	dir := t.TempDir()
	a := open(t, dir)
	if err := a.Append([]message.Record{rec("a", 1)}); err != nil {
		t.Fatal(err)
	}
	good := a.f
	a.f.Close() // every use of the handle fails from here on
	if err := a.Append([]message.Record{rec("a", 2)}); !errors.Is(err, ErrFailed) {
		t.Fatalf("a failed write gives %v", err)
	}
	a.f, _ = os.OpenFile(good.Name(), os.O_RDWR, 0o644)
	if err := a.Append([]message.Record{rec("a", 3)}); !errors.Is(err, ErrFailed) {
		t.Errorf("a sick file takes a write: %v", err)
	}
	b := open(t, dir)
	if value(b, "a") != "value 1 of a" {
		t.Errorf("read back %q", value(b, "a"))
	}
}

// A full disk refuses with its own error, keeps what it had, and takes writes again once there is room.
func TestFullDisk(t *testing.T) {
	a := open(t, t.TempDir())
	if err := a.Append([]message.Record{rec("a", 1)}); err != nil {
		t.Fatal(err)
	}
	full, err := os.OpenFile("/dev/full", os.O_RDWR, 0)
	if err != nil {
		t.Skip("no /dev/full here")
	}
	good := a.f
	a.f = full
	err = a.Append([]message.Record{rec("a", 2)})
	if !errors.Is(err, ErrFull) && !errors.Is(err, ErrFailed) {
		t.Fatalf("a full disk gives %v", err)
	}
	a.f = good
	if errors.Is(err, ErrFull) && !a.sick {
		if err := a.Append([]message.Record{rec("a", 3)}); err != nil {
			t.Errorf("with room again: %v", err)
		}
	}
	if value(a, "a") == "value 2 of a" {
		t.Error("a refused write lives")
	}
}

// With the disk full from one moment on, the reserve bears so many changes as docs/design.md says; each that was
// taken is read back from the disk; then a rewrite makes room of what is old, and with room again all is as before.
func TestReserveOfAFullDisk(t *testing.T) {
	const spare = 64 << 10
	dir := t.TempDir()
	a, err := Open(dir, spare)
	if err != nil {
		t.Fatal(err)
	}
	full := false
	a.Allocate = func(f *os.File, off, n int64) error {
		if full {
			return syscall.ENOSPC
		}
		return allocate(f, off, n)
	}
	big := func(k string, n int) message.Record {
		return message.Record{Kind: 3, Key: k, Data: append(fmt.Appendf(nil, "%d ", n), make([]byte, 2000)...)}
	}
	if err := a.Append([]message.Record{big("a", 0)}); err != nil || a.DiskFull() {
		t.Fatal(err, a.DiskFull())
	}
	full = true
	taken := 0
	for i := 1; i <= 200; i++ {
		if err := a.Append([]message.Record{big("a", i)}); err != nil {
			if !errors.Is(err, ErrFull) || a.sick {
				t.Fatal(err)
			}
			break
		}
		taken = i
	}
	if !a.DiskFull() {
		t.Error("a full disk is not seen")
	}
	if least := spare / 2100; taken < least {
		t.Errorf("%d changes of 2 kB from a reserve of %d bytes, %d promised", taken, spare, least)
	}
	a.Close() // as a lost power would: nothing more is written
	a, err = Open(dir, spare)
	if err != nil {
		t.Fatal(err)
	}
	if want := fmt.Sprintf("%d ", taken); value(a, "a")[:len(want)] != want {
		t.Errorf("read back %.8q, %s was taken last", value(a, "a"), want)
	}
	a.Allocate = func(*os.File, int64, int64) error { return syscall.ENOSPC }
	a.end, a.low = a.size, true
	if err := a.Append([]message.Record{big("b", 1)}); !errors.Is(err, ErrFull) {
		t.Errorf("with the reserve used up: %v", err)
	}
	if a.size > 3000 {
		t.Errorf("what is old was not thrown away: %d bytes", a.size)
	}
	a.Allocate = allocate
	if err := a.Append(nil); err != nil || a.DiskFull() {
		t.Errorf("with room again: %v, low %v", err, a.DiskFull())
	}
	if err := a.Append([]message.Record{big("b", 2)}); err != nil || value(a, "b")[:2] != "2 " {
		t.Errorf("with room again: %v", err)
	}
}
