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

func testRecord(k string, n int) message.Record {
	return message.Record{Kind: 3, Key: k, Data: fmt.Appendf(nil, "value %d of %s", n, k)}
}

func openLog(t *testing.T, dir string) *Log {
	t.Helper()
	a, err := Open(dir, 0)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func storedValue(a *Log, k string) string {
	for _, r := range a.Records() {
		if r.Key == k {
			return string(r.Data)
		}
	}
	return ""
}

func threeBatches(t *testing.T, dir string) []byte {
	t.Helper()
	a := openLog(t, dir)
	for i := range 3 {
		if err := a.Append([]message.Record{testRecord("a", i), testRecord("b", i)}); err != nil {
			t.Fatal(err)
		}
	}
	a.Close()
	b, err := os.ReadFile(filepath.Join(dir, logName))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A file truncated at any byte loses only records at its end, and can be appended to (docs/design.md, section 3).
func TestTornTailAtEveryByte(t *testing.T) {
	whole := threeBatches(t, t.TempDir())
	for cut := range len(whole) {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, logName), whole[:cut], 0o644); err != nil {
			t.Fatal(err)
		}
		a := openLog(t, dir)
		n := a.seq
		if err := a.Append([]message.Record{testRecord("c", 9)}); err != nil {
			t.Fatal(err)
		}
		a.Close()
		a = openLog(t, dir)
		if a.seq != n+1 || storedValue(a, "c") != "value 9 of c" {
			t.Fatalf("cut at %d: %d records before, %d after, c is %q", cut, n, a.seq, storedValue(a, "c"))
		}
		a.Close()
	}
}

// A byte changed anywhere before the last append is reported as damage, never read as a shorter file. In the last append it
// looks like a torn write of that append, and no record before it is lost.
func TestDamageAtEveryByte(t *testing.T) {
	whole := threeBatches(t, t.TempDir())
	lastRecord := len(whole) - headerLen - 1 - len("value 2 of b")
	lastAppend := lastRecord - headerLen - 1 - len("value 2 of a")
	for at := range whole {
		dir := t.TempDir()
		b := append([]byte(nil), whole...)
		b[at] ^= 0x55
		if err := os.WriteFile(filepath.Join(dir, logName), b, 0o644); err != nil {
			t.Fatal(err)
		}
		a, err := Open(dir, 0)
		if at < lastAppend {
			if !errors.Is(err, ErrDamaged) {
				t.Fatalf("byte %d changed: %v", at, err)
			}
			continue
		}
		want := "value 1 of a"
		if at >= lastRecord {
			want = "value 2 of a"
		}
		if err != nil || storedValue(a, "a") != want || storedValue(a, "b") != "value 1 of b" {
			t.Fatalf("byte %d of the last append changed: %v, a is %q, b is %q", at, err, storedValue(a, "a"), storedValue(a, "b"))
		}
		a.Close()
	}
}

// A long file is compacted to its current records and reads back the same.
func TestCompaction(t *testing.T) {
	dir := t.TempDir()
	a := openLog(t, dir)
	a.CompactionSize = 2000
	for i := range 500 {
		if err := a.Append([]message.Record{testRecord("a", i), testRecord("b", i)}); err != nil {
			t.Fatal(err)
		}
	}
	if a.Size() > 3000 {
		t.Errorf("%d bytes after the compaction", a.Size())
	}
	a.Close()
	a = openLog(t, dir)
	if storedValue(a, "a") != "value 499 of a" || storedValue(a, "b") != "value 499 of b" {
		t.Errorf("read back %q, %q", storedValue(a, "a"), storedValue(a, "b"))
	}
}

// After a failed write the log accepts no further write, not even one that would succeed.
func TestFailedWriteIsFinal(t *testing.T) {
	dir := t.TempDir()
	a := openLog(t, dir)
	if err := a.Append([]message.Record{testRecord("a", 1)}); err != nil {
		t.Fatal(err)
	}
	original := a.f
	a.f.Close() // every use of the handle fails from here on
	if err := a.Append([]message.Record{testRecord("a", 2)}); !errors.Is(err, ErrFailed) {
		t.Fatalf("a failed write returns %v", err)
	}
	a.f, _ = os.OpenFile(original.Name(), os.O_RDWR, 0o644)
	if err := a.Append([]message.Record{testRecord("a", 3)}); !errors.Is(err, ErrFailed) {
		t.Errorf("a failed file accepts a write: %v", err)
	}
	b := openLog(t, dir)
	if storedValue(b, "a") != "value 1 of a" {
		t.Errorf("read back %q", storedValue(b, "a"))
	}
}

// On a full disk Append returns ErrFull, keeps the earlier records, and accepts writes again once there is space.
func TestFullDisk(t *testing.T) {
	a := openLog(t, t.TempDir())
	if err := a.Append([]message.Record{testRecord("a", 1)}); err != nil {
		t.Fatal(err)
	}
	full, err := os.OpenFile("/dev/full", os.O_RDWR, 0)
	if err != nil {
		t.Skip("no /dev/full here")
	}
	original := a.f
	a.f = full
	err = a.Append([]message.Record{testRecord("a", 2)})
	if !errors.Is(err, ErrFull) && !errors.Is(err, ErrFailed) {
		t.Fatalf("on a full disk Append returns %v", err)
	}
	a.f = original
	if errors.Is(err, ErrFull) && !a.failed {
		if err := a.Append([]message.Record{testRecord("a", 3)}); err != nil {
			t.Errorf("with space again: %v", err)
		}
	}
	if storedValue(a, "a") == "value 2 of a" {
		t.Error("a refused write is read back")
	}
}

// When the disk becomes full, the reserve has space for as many changes as docs/design.md states, and each accepted one is
// read back from the disk. Then a compaction frees the space of old records, and once the disk has space again writes succeed
// as before.
func TestReserveOfAFullDisk(t *testing.T) {
	const reserveSize = 64 << 10
	dir := t.TempDir()
	a, err := Open(dir, reserveSize)
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
	accepted := 0
	for i := 1; i <= 200; i++ {
		if err := a.Append([]message.Record{big("a", i)}); err != nil {
			if !errors.Is(err, ErrFull) || a.failed {
				t.Fatal(err)
			}
			break
		}
		accepted = i
	}
	if !a.DiskFull() {
		t.Error("a full disk is not detected")
	}
	if minAccepted := reserveSize / 2100; accepted < minAccepted {
		t.Errorf("%d changes of 2 kB from a reserve of %d bytes, want at least %d", accepted, reserveSize, minAccepted)
	}
	a.Close() // nothing more is written, as after a power loss
	a, err = Open(dir, reserveSize)
	if err != nil {
		t.Fatal(err)
	}
	if want := fmt.Sprintf("%d ", accepted); storedValue(a, "a")[:len(want)] != want {
		t.Errorf("read back %.8q, %s was accepted last", storedValue(a, "a"), want)
	}
	a.Allocate = func(*os.File, int64, int64) error { return syscall.ENOSPC }
	a.allocatedEnd, a.diskFull = a.size, true
	if err := a.Append([]message.Record{big("b", 1)}); !errors.Is(err, ErrFull) {
		t.Errorf("with the reserve used up: %v", err)
	}
	if a.size > 3000 {
		t.Errorf("old records were not removed: %d bytes", a.size)
	}
	a.Allocate = allocate
	if err := a.Append(nil); err != nil || a.DiskFull() {
		t.Errorf("with space again: %v, disk full %v", err, a.DiskFull())
	}
	if err := a.Append([]message.Record{big("b", 2)}); err != nil || storedValue(a, "b")[:2] != "2 " {
		t.Errorf("a second write with space again: %v", err)
	}
}
