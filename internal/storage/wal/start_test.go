package wal

import (
	"errors"
	"os"
	"testing"

	"seamshunt/internal/cluster/message"
)

// pageCache stands in for a kernel: it remembers what of the log's file was synced, and takes the rest away as a loss of power does.
type pageCache struct {
	synced []byte
	fault  error
}

// sync is a log's sync.
func (p *pageCache) sync(f *os.File) error {
	if p.fault != nil {
		return p.fault
	}
	b, err := os.ReadFile(f.Name())
	if err != nil {
		return err
	}
	p.synced = b
	return f.Sync()
}

// LOST: a process was killed between the write of a change and its sync. What the next one reads and answers for outlives a loss of
// power.
func TestWhatIsReadBackAfterAKillIsSynced(t *testing.T) {
	log, mark, writing := unsynced(t, 2, []message.Record{rec("a", 7), rec("b", 7)})
	for cut := 0; cut <= len(writing); cut++ {
		dir := folder(t, append(append([]byte(nil), log...), writing[:cut]...), mark)
		disk := &pageCache{synced: log}
		a, err := openWith(dir, 0, disk.sync)
		if err != nil {
			t.Fatalf("%d bytes written: %v", cut, err)
		}
		a.Close()
		after := open(t, folder(t, disk.synced, nil))
		for _, r := range a.Records() {
			if got := value(after, r.Key); got != string(r.Data) {
				t.Fatalf("%d bytes written: %s was given out as %q, and is %q after a loss of power", cut, r.Key, r.Data, got)
			}
		}
		after.Close()
	}
}

// Two appends, one from before a kill and one from after it: whatever a loss of power leaves of them, all that was synced lives,
// since the first is synced before the second is written.
func TestAppendBehindAKillLeavesNoGap(t *testing.T) {
	const batches = 2
	log, mark, writing := unsynced(t, batches, []message.Record{rec("d", 7)})
	dir := folder(t, append(append([]byte(nil), log...), writing...), mark)
	disk := &pageCache{synced: log}
	a, err := openWith(dir, 0, disk.sync)
	if err != nil {
		t.Fatal(err)
	}
	before := len(disk.synced)
	if err := a.Append([]message.Record{rec("e", 8)}); err != nil {
		t.Fatal(err)
	}
	a.Close()
	image := readFile(t, dir, name)
	clear(image[before : len(log)+len(writing)]) // what no sync had covered by then is missing, the second append is there
	outlives(t, "a second append", image, mark, batches)
}

// A disk that can't sync what was read gives nothing out.
func TestNothingIsReadFromADiskThatCannotSync(t *testing.T) {
	log, mark, _ := unsynced(t, 1, []message.Record{rec("a", 7)})
	fault := errors.New("input/output error")
	if _, err := openWith(folder(t, log, mark), 0, (&pageCache{fault: fault}).sync); !errors.Is(err, fault) {
		t.Errorf("opened: %v", err)
	}
}

// What was synced at a start is marked: a file that lacks it later is damaged.
func TestWhatIsSyncedAtAStartIsMarked(t *testing.T) {
	log, mark, writing := unsynced(t, 2, []message.Record{rec("a", 7)})
	dir := folder(t, append(append([]byte(nil), log...), writing...), mark)
	open(t, dir).Close()
	if _, err := Open(folder(t, log, readFile(t, dir, markName)), 0); !errors.Is(err, ErrDamaged) {
		t.Errorf("a file that lacks what was synced at a start: %v", err)
	}
}

// After a failed sync the file is written anew: only a new file's sync proves anything.
func TestRenewedAfterAFailedSync(t *testing.T) {
	log, mark, writing := unsynced(t, 2, []message.Record{rec("a", 7)})
	dir := folder(t, append(append([]byte(nil), log...), writing...), mark)
	disk := &pageCache{}
	a, err := openWith(dir, 0, disk.sync)
	if err != nil {
		t.Fatal(err)
	}
	disk.synced = nil
	if err := a.Rewrite(); err != nil {
		t.Fatal(err)
	}
	a.Close()
	if after := open(t, folder(t, disk.synced, nil)); value(after, "a") != "value 7 of a" || value(after, "b") != "value 1 of b" {
		t.Errorf("the new file holds %q and %q", value(after, "a"), value(after, "b"))
	}
	a, err = openWith(dir, 0, disk.sync)
	if err != nil {
		t.Fatal(err)
	}
	disk.fault = errors.New("input/output error")
	if err := a.Rewrite(); !errors.Is(err, ErrFailed) {
		t.Errorf("a file that can't be written anew: %v", err)
	}
	if err := a.Append([]message.Record{rec("a", 8)}); !errors.Is(err, ErrFailed) {
		t.Errorf("it is written on: %v", err)
	}
}
