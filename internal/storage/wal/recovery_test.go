package wal

import (
	"errors"
	"os"
	"testing"

	"seamshunt/internal/cluster/message"
)

// pageCache simulates the kernel's page cache: it holds the synced part of the log, which is all that survives a power loss.
type pageCache struct {
	synced []byte
	fault  error
}

// sync is the sync function that the log is opened with.
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

// Guards against data loss when a process is killed between the write of a change and its sync: what the next process reads
// and acknowledges must survive a power loss.
func TestWhatIsReadBackAfterAKillIsSynced(t *testing.T) {
	log, mark, unsynced := unsyncedAppend(t, 2, []message.Record{testRecord("a", 7), testRecord("b", 7)})
	for cut := 0; cut <= len(unsynced); cut++ {
		dir := testDir(t, append(append([]byte(nil), log...), unsynced[:cut]...), mark)
		disk := &pageCache{synced: log}
		a, err := openWithSync(dir, 0, disk.sync)
		if err != nil {
			t.Fatalf("%d bytes written: %v", cut, err)
		}
		a.Close()
		after := openLog(t, testDir(t, disk.synced, nil))
		for _, r := range a.Records() {
			if got := storedValue(after, r.Key); got != string(r.Data) {
				t.Fatalf("%d bytes written: %s was read as %q, but is %q after a power loss", cut, r.Key, r.Data, got)
			}
		}
		after.Close()
	}
}

// Whatever a power loss leaves of two appends, one before a kill and one after it, all synced records are there, since the
// first append is synced before the second is written.
func TestAppendAfterAKillLeavesNoGap(t *testing.T) {
	const batches = 2
	log, mark, unsynced := unsyncedAppend(t, batches, []message.Record{testRecord("d", 7)})
	dir := testDir(t, append(append([]byte(nil), log...), unsynced...), mark)
	disk := &pageCache{synced: log}
	a, err := openWithSync(dir, 0, disk.sync)
	if err != nil {
		t.Fatal(err)
	}
	syncedLen := len(disk.synced)
	if err := a.Append([]message.Record{testRecord("e", 8)}); err != nil {
		t.Fatal(err)
	}
	a.Close()
	image := readFile(t, dir, logName)
	// What wasn't synced before the second append is lost; the second append isn't.
	clear(image[syncedLen : len(log)+len(unsynced)])
	checkSurvives(t, "a second append", image, mark, batches)
}

// If the disk can't sync what was read, opening the log fails.
func TestNothingIsReadFromADiskThatCannotSync(t *testing.T) {
	log, mark, _ := unsyncedAppend(t, 1, []message.Record{testRecord("a", 7)})
	fault := errors.New("input/output error")
	if _, err := openWithSync(testDir(t, log, mark), 0, (&pageCache{fault: fault}).sync); !errors.Is(err, fault) {
		t.Errorf("opened: %v", err)
	}
}

// What Open syncs is recorded in the mark: a file in which it is missing later is damaged.
func TestWhatIsSyncedAtAStartIsMarked(t *testing.T) {
	log, mark, unsynced := unsyncedAppend(t, 2, []message.Record{testRecord("a", 7)})
	dir := testDir(t, append(append([]byte(nil), log...), unsynced...), mark)
	openLog(t, dir).Close()
	if _, err := Open(testDir(t, log, readFile(t, dir, markName)), 0); !errors.Is(err, ErrDamaged) {
		t.Errorf("a file that lacks what was synced at a start: %v", err)
	}
}

// After a failed sync the log is rewritten, because only the sync of a new file proves that its content is on the disk.
func TestRewriteAfterAFailedSync(t *testing.T) {
	log, mark, unsynced := unsyncedAppend(t, 2, []message.Record{testRecord("a", 7)})
	dir := testDir(t, append(append([]byte(nil), log...), unsynced...), mark)
	disk := &pageCache{}
	a, err := openWithSync(dir, 0, disk.sync)
	if err != nil {
		t.Fatal(err)
	}
	disk.synced = nil
	if err := a.Rewrite(); err != nil {
		t.Fatal(err)
	}
	a.Close()
	if after := openLog(t, testDir(t, disk.synced, nil)); storedValue(after, "a") != "value 7 of a" || storedValue(after, "b") != "value 1 of b" {
		t.Errorf("the new file holds %q and %q", storedValue(after, "a"), storedValue(after, "b"))
	}
	a, err = openWithSync(dir, 0, disk.sync)
	if err != nil {
		t.Fatal(err)
	}
	disk.fault = errors.New("input/output error")
	if err := a.Rewrite(); !errors.Is(err, ErrFailed) {
		t.Errorf("a file that can't be rewritten: %v", err)
	}
	if err := a.Append([]message.Record{testRecord("a", 8)}); !errors.Is(err, ErrFailed) {
		t.Errorf("a failed file accepts a write: %v", err)
	}
}
