//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"unsafe"

	"seamshunt/platform/standin"
)

// diskState is the length of a control node's log, and its own mark of what was synced, which it writes after each sync.
type diskState struct {
	size int64
	mark string
}

func (f *fleet) data(m standin.Machine, name string) string {
	return filepath.Join(f.dir, m.Name+".data", name)
}

func (f *fleet) disk(m standin.Machine) (d diskState) {
	if i, err := os.Stat(f.data(m, "wal")); err == nil {
		d.size = i.Size()
	}
	b, _ := os.ReadFile(f.data(m, "wal.mark"))
	d.mark = fmt.Sprintf("%x", b)
	return d
}

// writeAgain writes the bytes from an offset on once more, as they are: they are then what no sync has covered.
func (f *fleet) writeAgain(m standin.Machine, from int64) error {
	log, err := os.OpenFile(f.data(m, "wal"), os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer log.Close()
	i, err := log.Stat()
	if err != nil {
		return err
	}
	b := make([]byte, i.Size()-from)
	if _, err := log.ReadAt(b, from); err != nil {
		return err
	}
	_, err = log.WriteAt(b, from)
	return err
}

// cachestat is Linux's system call that counts a file's pages in memory, since 6.5.
const cachestat = 451

// unsynced says whether bytes of a control node's log wait in memory only. Known is false where the kernel can't tell.
func (f *fleet) unsynced(m standin.Machine) (dirty, known bool) {
	log, err := os.Open(f.data(m, "wal"))
	if err != nil {
		return false, false
	}
	defer log.Close()
	var span struct{ offset, length uint64 } // all of the file
	var pages struct{ cached, dirty, writeback, evicted, evictedLately uint64 }
	_, _, errno := syscall.Syscall6(cachestat, log.Fd(), uintptr(unsafe.Pointer(&span)), uintptr(unsafe.Pointer(&pages)), 0, 0, 0)
	return pages.dirty > 0, errno == 0
}
