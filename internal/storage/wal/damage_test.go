package wal

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"testing"

	"seamshunt/internal/cluster/message"
)

// testDir creates a directory with a log and a mark, as a disk may hold them after a power loss; nil means no file.
func testDir(t *testing.T, log, mark []byte) string {
	t.Helper()
	dir := t.TempDir()
	for file, b := range map[string][]byte{logName: log, markName: mark} {
		if b == nil {
			continue
		}
		if err := os.WriteFile(filepath.Join(dir, file), b, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func readFile(t *testing.T, dir, file string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(dir, file))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// smallLog returns the files of a log of a few records, optionally compacted in between.
func smallLog(t *testing.T, rewritten bool) (log, mark []byte) {
	t.Helper()
	dir := t.TempDir()
	a := openLog(t, dir)
	for i := range 3 {
		if err := a.Append([]message.Record{testRecord("a", i), testRecord("b", i)}); err != nil {
			t.Fatal(err)
		}
		if rewritten && i == 1 {
			if err := a.compact(); err != nil {
				t.Fatal(err)
			}
		}
	}
	a.Close()
	return readFile(t, dir, logName), readFile(t, dir, markName)
}

// recordsByLength returns the current records after each record of a log, by the length of the log up to there.
func recordsByLength(t *testing.T, log []byte) map[int]map[string]message.Record {
	t.Helper()
	at, live := 0, map[string]message.Record{}
	all := map[int]map[string]message.Record{0: {}}
	for seq := uint32(0); at < len(log); seq++ {
		r, n, err := parseRecord(log[at:], seq)
		if err != nil {
			t.Fatal(err)
		}
		applyRecord(live, r)
		at += n
		all[at] = maps.Clone(live)
	}
	return all
}

func sameRecords(a, b map[string]message.Record) bool { return fmt.Sprint(a) == fmt.Sprint(b) }

// Any flipped bit in a log that a process left is reported as damage, never read as another or an older state.
func TestEveryBitFlip(t *testing.T) {
	for _, rewritten := range []bool{false, true} {
		log, mark := smallLog(t, rewritten)
		dir := testDir(t, log, mark)
		for bit := range 8 * len(log) {
			b := append([]byte(nil), log...)
			b[bit/8] ^= 1 << (bit % 8)
			if err := os.WriteFile(filepath.Join(dir, logName), b, 0o644); err != nil {
				t.Fatal(err)
			}
			if _, err := Open(dir, 0); !errors.Is(err, ErrDamaged) {
				t.Fatalf("rewritten %v, bit %d of byte %d: %v", rewritten, bit%8, bit/8, err)
			}
		}
	}
}

// If the mark is lost too, a flipped bit is reported as damage, or it loses the records of the last append from there on, as a
// torn write would: all of the append if it is in its first record, only the second if it is in that.
func TestEveryBitFlipWithoutMark(t *testing.T) {
	for _, rewritten := range []bool{false, true} {
		log, _ := smallLog(t, rewritten)
		second := len(log) - len(encodeRecord(testRecord("b", 2), 0))
		first := second - len(encodeRecord(testRecord("a", 2), 0))
		states := recordsByLength(t, log)
		for bit := range 8 * len(log) {
			b := append([]byte(nil), log...)
			b[bit/8] ^= 1 << (bit % 8)
			last := first
			if bit/8 >= second {
				last = second
			}
			c, err := scan(b)
			if !errors.Is(err, ErrDamaged) && (bit/8 < first || c.size != last || !sameRecords(c.records, states[last])) {
				t.Fatalf("rewritten %v, bit %d of byte %d: %v, %d bytes read", rewritten, bit%8, bit/8, err, c.size)
			}
		}
	}
}

// A truncated file is reported as damage: with the mark always, without it if it is truncated within the snapshot.
func TestEveryTruncation(t *testing.T) {
	for _, rewritten := range []bool{false, true} {
		log, mark := smallLog(t, rewritten)
		states := recordsByLength(t, log)
		snapshot, head := 0, 0
		if rewritten {
			snapshot = len(log) - len(encodeRecord(testRecord("a", 2), 0)) - len(encodeRecord(testRecord("b", 2), 0))
			_, head, _ = parseRecord(log, 0)
		}
		for cut := range len(log) {
			if _, err := Open(testDir(t, log[:cut], mark), 0); !errors.Is(err, ErrDamaged) {
				t.Fatalf("rewritten %v, cut at %d: %v", rewritten, cut, err)
			}
			c, err := scan(log[:cut])
			switch damaged := errors.Is(err, ErrDamaged); {
			case cut >= head && cut < snapshot && !damaged:
				t.Fatalf("cut in the snapshot at %d: %v", cut, err)
			case !damaged && !sameRecords(c.records, states[c.size]):
				t.Fatalf("cut at %d: no prefix of the log", cut)
			}
		}
	}
}

// A power loss during a compaction may leave the old file, with or without a complete or torn new one under its temporary name,
// or the new file. Each holds all that was acknowledged.
func TestPowerLostAroundACompaction(t *testing.T) {
	dir := t.TempDir()
	a := openLog(t, dir)
	for i := range 3 {
		if err := a.Append([]message.Record{testRecord("a", i)}); err != nil {
			t.Fatal(err)
		}
	}
	oldLog, oldMark := readFile(t, dir, logName), readFile(t, dir, markName)
	if err := a.compact(); err != nil {
		t.Fatal(err)
	}
	a.Close()
	newLog, newMark := readFile(t, dir, logName), readFile(t, dir, markName)
	for cut := range len(newLog) + 1 {
		dir := testDir(t, oldLog, oldMark)
		if err := os.WriteFile(filepath.Join(dir, tempName), newLog[:cut], 0o644); err != nil {
			t.Fatal(err)
		}
		b := openLog(t, dir)
		if storedValue(b, "a") != "value 2 of a" || b.generation != 0 {
			t.Fatalf("a compaction torn at %d: %q of generation %d", cut, storedValue(b, "a"), b.generation)
		}
		b.Close()
		if _, err := os.Stat(filepath.Join(dir, tempName)); !errors.Is(err, os.ErrNotExist) {
			t.Fatalf("the torn compaction stays: %v", err)
		}
	}
	for what, mark := range map[string][]byte{"its mark": newMark, "the earlier mark": oldMark, "no mark": nil} {
		b := openLog(t, testDir(t, newLog, mark))
		if storedValue(b, "a") != "value 2 of a" || b.generation != 1 {
			t.Errorf("the new file with %s: %q of generation %d", what, storedValue(b, "a"), b.generation)
		}
		b.Close()
	}
}

// A log of an earlier generation, or a missing one, next to a mark that requires more is reported as damage, though all of its
// bytes are valid.
func TestDirectoryEntryLost(t *testing.T) {
	oldLog, oldMark := smallLog(t, false)
	_, newMark := smallLog(t, true)
	for what, dir := range map[string]string{
		"the old file came back":  testDir(t, oldLog, newMark),
		"the file's name is lost": testDir(t, nil, oldMark),
		"the file is empty":       testDir(t, []byte{}, oldMark),
	} {
		if _, err := Open(dir, 0); !errors.Is(err, ErrDamaged) {
			t.Errorf("%s: %v", what, err)
		}
		if err := SetAside(dir); err != nil {
			t.Errorf("%s: %v", what, err)
		}
		a := openLog(t, dir)
		if len(a.Records()) > 0 {
			t.Errorf("%s: not empty after it was set aside", what)
		}
		a.Close()
	}
	torn := append([]byte(nil), oldMark...)
	torn[3] ^= 1
	a := openLog(t, testDir(t, oldLog, torn))
	if storedValue(a, "b") != "value 2 of b" {
		t.Error("an incomplete mark is not ignored")
	}
	a.Close()
}

// A record that is too large to be read back is refused before anything is written.
func TestTooLargeRecord(t *testing.T) {
	a := openLog(t, t.TempDir())
	for _, r := range []message.Record{{Kind: 3, Key: "k", Data: make([]byte, maxDataLen+1)}, {Kind: 3, Key: string(make([]byte, 1<<16)), Data: []byte("x")}} {
		if err := a.Append([]message.Record{r}); !errors.Is(err, ErrTooLarge) || a.Size() != 0 {
			t.Errorf("key of %d bytes, data of %d: %v, %d bytes written", len(r.Key), len(r.Data), err, a.Size())
		}
	}
}

// After thousands of changes of mixed sizes, the file and the memory use are bounded by the current records alone.
func TestLogStaysBounded(t *testing.T) {
	dir := t.TempDir()
	a := openLog(t, dir)
	a.CompactionSize = 256 << 10
	longest := int64(0)
	for i := range 5000 {
		size := 200
		if i%50 == 0 {
			size = 20 << 10
		}
		key := fmt.Sprintf("zone/%d", i%16)
		if err := a.Append([]message.Record{{Kind: 2, Key: key, Data: make([]byte, 16)}, {Kind: 3, Key: key, Data: make([]byte, size)}}); err != nil {
			t.Fatal(err)
		}
		longest = max(longest, a.Size())
	}
	const batch = 21 << 10
	if most := max(a.CompactionSize, 4*16*(batch+100)) + batch; longest > most || len(a.Records()) != 32 {
		t.Errorf("%d bytes at most, want at most %d; %d current records of 16 keys", longest, most, len(a.Records()))
	}
	t.Logf("5,000 changes of 16 keys: %d bytes at most, %d at the end, %d in current records, %d records in memory, %d compactions", longest, a.Size(), a.liveBytes(), len(a.Records()), a.generation)
	a.Close()
}
