// Package changelog records the operators' changes that this node acknowledged as a Merkle log with signed
// checkpoints, in the published tlog-checkpoint and signed-note formats (design 10).
package changelog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"golang.org/x/mod/sumdb/note"
	"golang.org/x/mod/sumdb/tlog"
)

// The files in the data folder.
const (
	leaves     = "audit.jsonl"
	checkpoint = "audit.checkpoint"
	secret     = "audit.key"
	public     = "audit.pub"
)

// Entry is one acknowledged change, as a line of the log; Unix is the time of day in seconds.
type Entry struct {
	Unix    int64  `json:"unix"`
	Key     string `json:"key"`
	Version uint64 `json:"number"`
	Plan    string `json:"plan,omitempty"`
	SHA256  string `json:"sha256"`
}

// hashes keeps the log's stored hashes in memory.
type hashes []tlog.Hash

func (h *hashes) add(n int64, data []byte) error {
	l, err := tlog.StoredHashes(n, data, h)
	if err != nil {
		return err
	}
	*h = append(*h, l...)
	return nil
}

// ReadHashes serves the library.
func (h *hashes) ReadHashes(at []int64) ([]tlog.Hash, error) {
	var l []tlog.Hash
	for _, i := range at {
		if i < 0 || i >= int64(len(*h)) {
			return nil, fmt.Errorf("changelog: no hash %d", i)
		}
		l = append(l, (*h)[i])
	}
	return l, nil
}

// Log is one node's record.
type Log struct {
	mu     sync.Mutex
	dir    string
	f      *os.File
	n      int64
	tree   hashes
	signer note.Signer
}

// Open reads the record back, and makes the node's key at the first start. A torn last line is cut.
func Open(dir, name string) (*Log, error) {
	l := &Log{dir: dir}
	var err error
	if l.signer, err = signer(dir, name); err != nil {
		return nil, err
	}
	if l.f, err = os.OpenFile(filepath.Join(dir, leaves), os.O_CREATE|os.O_RDWR, 0o644); err != nil {
		return nil, fmt.Errorf("changelog: %w", err)
	}
	size, n, tree, err := read(l.f)
	if err != nil {
		return nil, err
	}
	l.n, l.tree = n, tree
	if err := l.f.Truncate(size); err != nil {
		return nil, fmt.Errorf("changelog: %w", err)
	}
	if _, err := l.f.Seek(size, 0); err != nil {
		return nil, fmt.Errorf("changelog: %w", err)
	}
	return l, nil
}

// read builds the tree from whole lines.
func read(f *os.File) (size, n int64, tree hashes, err error) {
	r := bufio.NewReader(f)
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			return size, n, tree, nil
		}
		if err := tree.add(n, bytes.TrimSuffix(line, []byte("\n"))); err != nil {
			return 0, 0, nil, fmt.Errorf("changelog: %w", err)
		}
		size += int64(len(line))
		n++
	}
}

// Append records a change, syncs it, and signs a new checkpoint.
func (l *Log) Append(x Entry) error {
	b, err := json.Marshal(x)
	if err != nil {
		return fmt.Errorf("changelog: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, err := l.f.Write(append(b, '\n')); err != nil {
		return fmt.Errorf("changelog: %w", err)
	}
	if err := l.f.Sync(); err != nil {
		return fmt.Errorf("changelog: %w", err)
	}
	if err := l.tree.add(l.n, b); err != nil {
		return fmt.Errorf("changelog: %w", err)
	}
	l.n++
	root, err := tlog.TreeHash(l.n, &l.tree)
	if err != nil {
		return fmt.Errorf("changelog: %w", err)
	}
	// The body of a checkpoint: origin, size, root hash, each on a line.
	signed, err := note.Sign(&note.Note{Text: fmt.Sprintf("%s\n%d\n%s\n", l.signer.Name(), l.n, root)}, l.signer)
	if err != nil {
		return fmt.Errorf("changelog: %w", err)
	}
	return write(l.dir, checkpoint, signed, 0o644)
}

// Close closes the record.
func (l *Log) Close() error { return l.f.Close() }

// Verify checks a folder's record against its signed checkpoint, under the verifier key given. With an older
// checkpoint it also checks that the record has only grown since.
func Verify(dir, vkey string, older []byte) (int64, error) {
	v, err := note.NewVerifier(vkey)
	if err != nil {
		return 0, fmt.Errorf("changelog: the verifier key: %w", err)
	}
	b, err := os.ReadFile(filepath.Join(dir, checkpoint))
	if err != nil {
		return 0, fmt.Errorf("changelog: %w", err)
	}
	size, root, err := parse(b, v)
	if err != nil {
		return 0, err
	}
	f, err := os.Open(filepath.Join(dir, leaves))
	if err != nil {
		return 0, fmt.Errorf("changelog: %w", err)
	}
	defer f.Close()
	_, n, tree, err := read(f)
	if err != nil {
		return 0, err
	}
	if n < size {
		return 0, fmt.Errorf("changelog: %d entries, signed were %d", n, size)
	}
	check := func(size int64, root tlog.Hash, what string) error {
		h, err := tlog.TreeHash(size, &tree)
		if err != nil || h != root {
			return fmt.Errorf("changelog: the first %d entries are not those that %s signs", size, what)
		}
		return nil
	}
	if err := check(size, root, "the checkpoint"); err != nil {
		return 0, err
	}
	if older == nil {
		return size, nil
	}
	was, oldRoot, err := parse(older, v)
	if err != nil {
		return 0, err
	}
	if was > size {
		return 0, fmt.Errorf("changelog: the older checkpoint signs %d entries, now there are %d", was, size)
	}
	return size, check(was, oldRoot, "the older checkpoint")
}

func parse(b []byte, v note.Verifier) (int64, tlog.Hash, error) {
	x, err := note.Open(b, note.VerifierList(v))
	if err != nil {
		return 0, tlog.Hash{}, fmt.Errorf("changelog: the checkpoint's signature: %w", err)
	}
	var origin, hash string
	var size int64
	if _, err := fmt.Sscanf(x.Text, "%s\n%d\n%s\n", &origin, &size, &hash); err != nil || origin != v.Name() {
		return 0, tlog.Hash{}, fmt.Errorf("changelog: not a checkpoint of %s", v.Name())
	}
	h, err := tlog.ParseHash(hash)
	if err != nil {
		return 0, h, fmt.Errorf("changelog: %w", err)
	}
	return size, h, nil
}
