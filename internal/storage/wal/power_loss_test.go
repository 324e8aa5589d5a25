package wal

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"seamshunt/internal/cluster/message"
)

const sectorLen = 512

// unsyncedAppend returns a log and its mark before an append, and the bytes that the append writes.
func unsyncedAppend(t *testing.T, batches int, batch []message.Record) (log, mark, writing []byte) {
	t.Helper()
	dir := t.TempDir()
	a := openLog(t, dir)
	for i := range batches {
		if err := a.Append([]message.Record{testRecord("a", i), testRecord("b", i)}); err != nil {
			t.Fatal(err)
		}
	}
	a.writeMark()
	log, mark = readFile(t, dir, logName), readFile(t, dir, markName)
	if err := a.Append(batch); err != nil {
		t.Fatal(err)
	}
	a.Close()
	return log, mark, readFile(t, dir, logName)[len(log):]
}

// checkSurvives opens what a power loss left, and checks that all synced records are there and the log accepts appends.
func checkSurvives(t *testing.T, what string, log, mark []byte, batches int) {
	t.Helper()
	dir := testDir(t, log, mark)
	a, err := Open(dir, 0)
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	for _, key := range []string{"a", "b"} {
		if got, synced := storedValue(a, key), fmt.Sprintf("value %d of %s", batches-1, key); got != synced && got != "later" {
			t.Fatalf("%s: %s is %q, %q was synced", what, key, got, synced)
		}
	}
	if err := a.Append([]message.Record{testRecord("c", 9)}); err != nil {
		t.Fatal(err)
	}
	a.Close()
	if a = openLog(t, dir); storedValue(a, "c") != "value 9 of c" {
		t.Fatalf("%s: the next append reads back as %q", what, storedValue(a, "c"))
	}
	a.Close()
}

// A power loss leaves any part of a write that was not synced. Whichever of its records are there, the log reads up to them and
// is never reported as damaged, since that would cost the disk its vote while others may be lost too.
func TestPowerLostInABatchByRecords(t *testing.T) {
	const batches = 3
	var batch []message.Record
	for i, key := range []string{"a", "b", "d", "e", "f"} {
		batch = append(batch, message.Record{Kind: 3, Key: key, Data: []byte("later")})
		batch[i].Kind = testRecord("a", 0).Kind
	}
	log, mark, writing := unsyncedAppend(t, batches, batch)
	for present := range 1 << len(batch) {
		for _, filler := range []byte{0, 0xA5} {
			image := append([]byte(nil), log...)
			at := 0
			for i, r := range batch {
				n := headerLen + len(r.Key) + len(r.Data)
				part := append([]byte(nil), writing[at:at+n]...)
				if present&(1<<i) == 0 {
					part = []byte(strings.Repeat(string([]byte{filler}), n))
				}
				image = append(image, part...)
				at += n
			}
			checkSurvives(t, fmt.Sprintf("records %05b, the rest %#x", present, filler), image, mark, batches)
		}
	}
}

// The same with lost disk sectors, and with records shorter and longer than a sector.
func TestPowerLostInABatchBySectors(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 4))
		batches := 1 + rng.IntN(4)
		var batch []message.Record
		for range 1 + rng.IntN(8) {
			batch = append(batch, message.Record{Kind: testRecord("a", 0).Kind, Key: fmt.Sprint("k", rng.IntN(4)), Data: make([]byte, 1+rng.IntN(1500))})
		}
		log, mark, writing := unsyncedAppend(t, batches, batch)
		image := append(append([]byte(nil), log...), writing...)
		for at := len(log); at < len(image); {
			end := min(len(image), (at/sectorLen+1)*sectorLen)
			if rng.IntN(2) == 0 {
				clear(image[at:end])
			}
			at = end
		}
		if rng.IntN(3) == 0 {
			image = image[:len(log)+rng.IntN(len(writing)+1)]
		}
		if rng.IntN(3) == 0 {
			mark = nil
		}
		checkSurvives(t, fmt.Sprint("seed ", seed), image, mark, batches)
	}
}
