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

// folder lays files out as a disk may hold them after a loss; no bytes mean no file.
func folder(t *testing.T, log, mark []byte) string {
	t.Helper()
	dir := t.TempDir()
	for file, b := range map[string][]byte{name: log, markName: mark} {
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

// small gives the files of a log of a few records, rewritten in the middle if so wished.
func small(t *testing.T, rewritten bool) (log, mark []byte) {
	t.Helper()
	dir := t.TempDir()
	a := open(t, dir)
	for i := range 3 {
		if err := a.Append([]message.Record{rec("a", i), rec("b", i)}); err != nil {
			t.Fatal(err)
		}
		if rewritten && i == 1 {
			if err := a.compact(); err != nil {
				t.Fatal(err)
			}
		}
	}
	a.Close()
	return readFile(t, dir, name), readFile(t, dir, markName)
}

// boundaries gives what lives after each whole record of a log's bytes, by the length up to there.
func boundaries(t *testing.T, log []byte) map[int]map[string]message.Record {
	t.Helper()
	at, live := 0, map[string]message.Record{}
	all := map[int]map[string]message.Record{0: {}}
	for seq := uint32(0); at < len(log); seq++ {
		r, n, err := parse(log[at:], seq)
		if err != nil {
			t.Fatal(err)
		}
		keep(live, r)
		at += n
		all[at] = maps.Clone(live)
	}
	return all
}

func same(a, b map[string]message.Record) bool { return fmt.Sprint(a) == fmt.Sprint(b) }

// Any bit flipped in any byte of a log that a process left behind is damage: never another state, nor an older one.
func TestEveryBitFlip(t *testing.T) {
	for _, rewritten := range []bool{false, true} {
		log, mark := small(t, rewritten)
		dir := folder(t, log, mark)
		for bit := range 8 * len(log) {
			b := append([]byte(nil), log...)
			b[bit/8] ^= 1 << (bit % 8)
			if err := os.WriteFile(filepath.Join(dir, name), b, 0o644); err != nil {
				t.Fatal(err)
			}
			if _, err := Open(dir, 0); !errors.Is(err, ErrDamaged) {
				t.Fatalf("rewritten %v, bit %d of byte %d: %v", rewritten, bit%8, bit/8, err)
			}
		}
	}
}

// With the mark lost too, a flip is damage or costs the records of the last append from it on, as a torn write of that
// would. In the first record of an append it costs the whole append, in the second that one alone.
func TestEveryBitFlipWithoutMark(t *testing.T) {
	for _, rewritten := range []bool{false, true} {
		log, _ := small(t, rewritten)
		second := len(log) - len(lay(rec("b", 2), 0))
		first := second - len(lay(rec("a", 2), 0))
		states := boundaries(t, log)
		for bit := range 8 * len(log) {
			b := append([]byte(nil), log...)
			b[bit/8] ^= 1 << (bit % 8)
			last := first
			if bit/8 >= second {
				last = second
			}
			c, err := scan(b)
			if !errors.Is(err, ErrDamaged) && (bit/8 < first || c.size != last || !same(c.live, states[last])) {
				t.Fatalf("rewritten %v, bit %d of byte %d: %v, %d bytes read", rewritten, bit%8, bit/8, err, c.size)
			}
		}
	}
}

// A file that is cut anywhere is damage: with the mark always, without it wherever the cut is in the snapshot.
func TestEveryTruncation(t *testing.T) {
	for _, rewritten := range []bool{false, true} {
		log, mark := small(t, rewritten)
		states := boundaries(t, log)
		snapshot, head := 0, 0
		if rewritten {
			snapshot = len(log) - len(lay(rec("a", 2), 0)) - len(lay(rec("b", 2), 0))
			_, head, _ = parse(log, 0)
		}
		for cut := range len(log) {
			if _, err := Open(folder(t, log[:cut], mark), 0); !errors.Is(err, ErrDamaged) {
				t.Fatalf("rewritten %v, cut at %d: %v", rewritten, cut, err)
			}
			c, err := scan(log[:cut])
			switch damaged := errors.Is(err, ErrDamaged); {
			case cut >= head && cut < snapshot && !damaged:
				t.Fatalf("cut in the snapshot at %d: %v", cut, err)
			case !damaged && !same(c.live, states[c.size]):
				t.Fatalf("cut at %d: no prefix of the log", cut)
			}
		}
	}
}

// What a loss of power may leave around a rewrite: the old file with or without the new one under its first name, whole
// or torn, or the new one. Each holds all that was answered for.
func TestPowerLostAroundARewrite(t *testing.T) {
	dir := t.TempDir()
	a := open(t, dir)
	for i := range 3 {
		if err := a.Append([]message.Record{rec("a", i)}); err != nil {
			t.Fatal(err)
		}
	}
	oldLog, oldMark := readFile(t, dir, name), readFile(t, dir, markName)
	if err := a.compact(); err != nil {
		t.Fatal(err)
	}
	a.Close()
	newLog, newMark := readFile(t, dir, name), readFile(t, dir, markName)
	for cut := range len(newLog) + 1 {
		dir := folder(t, oldLog, oldMark)
		if err := os.WriteFile(filepath.Join(dir, newName), newLog[:cut], 0o644); err != nil {
			t.Fatal(err)
		}
		b := open(t, dir)
		if value(b, "a") != "value 2 of a" || b.generation != 0 {
			t.Fatalf("a rewrite torn at %d: %q of generation %d", cut, value(b, "a"), b.generation)
		}
		b.Close()
		if _, err := os.Stat(filepath.Join(dir, newName)); !errors.Is(err, os.ErrNotExist) {
			t.Fatalf("the torn rewrite stays: %v", err)
		}
	}
	for what, mark := range map[string][]byte{"its mark": newMark, "the mark of before": oldMark, "no mark": nil} {
		b := open(t, folder(t, newLog, mark))
		if value(b, "a") != "value 2 of a" || b.generation != 1 {
			t.Errorf("the new file with %s: %q of generation %d", what, value(b, "a"), b.generation)
		}
		b.Close()
	}
}

// A file of an earlier generation, or none, beside a mark that says more is damage, though each of its bytes is right.
func TestFolderEntryLost(t *testing.T) {
	oldLog, oldMark := small(t, false)
	_, newMark := small(t, true)
	for what, dir := range map[string]string{
		"the old file came back":  folder(t, oldLog, newMark),
		"the file's name is lost": folder(t, nil, oldMark),
		"the file is empty":       folder(t, []byte{}, oldMark),
	} {
		if _, err := Open(dir, 0); !errors.Is(err, ErrDamaged) {
			t.Errorf("%s: %v", what, err)
		}
		if err := SetAside(dir); err != nil {
			t.Errorf("%s: %v", what, err)
		}
		a := open(t, dir)
		if len(a.Records()) > 0 {
			t.Errorf("%s: not blank once set aside", what)
		}
		a.Close()
	}
	torn := append([]byte(nil), oldMark...)
	torn[3] ^= 1
	a := open(t, folder(t, oldLog, torn))
	if value(a, "b") != "value 2 of b" {
		t.Error("a mark that isn't whole says something")
	}
	a.Close()
}

// A record that could not be read back is refused before anything is written.
func TestTooLargeRecord(t *testing.T) {
	a := open(t, t.TempDir())
	for _, r := range []message.Record{{Kind: 3, Key: "k", Data: make([]byte, most+1)}, {Kind: 3, Key: string(make([]byte, 1<<16)), Data: []byte("x")}} {
		if err := a.Append([]message.Record{r}); !errors.Is(err, ErrTooLarge) || a.Size() != 0 {
			t.Errorf("key of %d bytes, data of %d: %v, %d bytes written", len(r.Key), len(r.Data), err, a.Size())
		}
	}
}

// Thousands of changes of mixed sizes leave a file and a memory that what lives alone bounds.
func TestLogStaysBounded(t *testing.T) {
	dir := t.TempDir()
	a := open(t, dir)
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
		t.Errorf("%d bytes at the longest, %d are the bound; %d records of 16 keys live", longest, most, len(a.Records()))
	}
	t.Logf("5,000 changes of 16 keys: %d bytes at the longest, %d at the end, %d live, %d records in memory, %d rewrites", longest, a.Size(), a.lives(), len(a.Records()), a.generation)
	a.Close()
}
