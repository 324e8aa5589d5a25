// Package changelog records the operators' changes that this node acknowledged. The record is a Merkle tree log with signed
// checkpoints, in the published tlog-checkpoint and signed-note formats (docs/design.md, section 10).
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

// Names of the files in the data directory.
const (
	entriesFile    = "audit.jsonl"
	checkpointFile = "audit.checkpoint"
	secretKeyFile  = "audit.key"
	publicKeyFile  = "audit.pub"
)

// Entry is one acknowledged change, which is one line of the log. Unix is the time in seconds since the epoch.
type Entry struct {
	Unix    int64  `json:"unix"`
	Key     string `json:"key"`
	Version uint64 `json:"number"`
	Plan    string `json:"plan,omitempty"`
	SHA256  string `json:"sha256"`
}

// hashes holds the log's stored hashes in memory.
type hashes []tlog.Hash

func (h *hashes) add(n int64, data []byte) error {
	l, err := tlog.StoredHashes(n, data, h)
	if err != nil {
		return err
	}
	*h = append(*h, l...)
	return nil
}

// ReadHashes implements tlog.HashReader.
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

// Log is the change log of one node.
type Log struct {
	mu     sync.Mutex
	dir    string
	file   *os.File
	count  int64
	tree   hashes
	signer note.Signer
}

// Open reads the log back, and generates the node's key at the first start. A torn last line is truncated.
func Open(dir, name string) (*Log, error) {
	l := &Log{dir: dir}
	var err error
	if l.signer, err = loadSigner(dir, name); err != nil {
		return nil, err
	}
	if l.file, err = os.OpenFile(filepath.Join(dir, entriesFile), os.O_CREATE|os.O_RDWR, 0o644); err != nil {
		return nil, fmt.Errorf("changelog: %w", err)
	}
	size, n, tree, err := readEntries(l.file)
	if err != nil {
		return nil, err
	}
	l.count, l.tree = n, tree
	if err := l.file.Truncate(size); err != nil {
		return nil, fmt.Errorf("changelog: %w", err)
	}
	if _, err := l.file.Seek(size, 0); err != nil {
		return nil, fmt.Errorf("changelog: %w", err)
	}
	return l, nil
}

// readEntries builds the tree from the complete lines of a file, and returns their length in bytes and their number.
func readEntries(file *os.File) (size, count int64, tree hashes, err error) {
	r := bufio.NewReader(file)
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			return size, count, tree, nil
		}
		if err := tree.add(count, bytes.TrimSuffix(line, []byte("\n"))); err != nil {
			return 0, 0, nil, fmt.Errorf("changelog: %w", err)
		}
		size += int64(len(line))
		count++
	}
}

// Append writes an entry, syncs it and signs a new checkpoint.
func (l *Log) Append(entry Entry) error {
	b, err := json.Marshal(entry)
	if err != nil {
		return fmt.Errorf("changelog: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, err := l.file.Write(append(b, '\n')); err != nil {
		return fmt.Errorf("changelog: %w", err)
	}
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("changelog: %w", err)
	}
	if err := l.tree.add(l.count, b); err != nil {
		return fmt.Errorf("changelog: %w", err)
	}
	l.count++
	root, err := tlog.TreeHash(l.count, &l.tree)
	if err != nil {
		return fmt.Errorf("changelog: %w", err)
	}
	// The body of a checkpoint has the origin, the size and the root hash, each on a line.
	signed, err := note.Sign(&note.Note{Text: fmt.Sprintf("%s\n%d\n%s\n", l.signer.Name(), l.count, root)}, l.signer)
	if err != nil {
		return fmt.Errorf("changelog: %w", err)
	}
	return writeFile(l.dir, checkpointFile, signed, 0o644)
}

// Close closes the log's file.
func (l *Log) Close() error { return l.file.Close() }

// Verify checks the log in a directory against its signed checkpoint with the given verifier key, and returns the number of
// signed entries. With an older checkpoint it also checks that the log has only been appended to since.
func Verify(dir, vkey string, older []byte) (int64, error) {
	v, err := note.NewVerifier(vkey)
	if err != nil {
		return 0, fmt.Errorf("changelog: the verifier key: %w", err)
	}
	b, err := os.ReadFile(filepath.Join(dir, checkpointFile))
	if err != nil {
		return 0, fmt.Errorf("changelog: %w", err)
	}
	size, root, err := parseCheckpoint(b, v)
	if err != nil {
		return 0, err
	}
	f, err := os.Open(filepath.Join(dir, entriesFile))
	if err != nil {
		return 0, fmt.Errorf("changelog: %w", err)
	}
	defer f.Close()
	_, count, tree, err := readEntries(f)
	if err != nil {
		return 0, err
	}
	if count < size {
		return 0, fmt.Errorf("changelog: %d entries, signed were %d", count, size)
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
	oldSize, oldRoot, err := parseCheckpoint(older, v)
	if err != nil {
		return 0, err
	}
	if oldSize > size {
		return 0, fmt.Errorf("changelog: the older checkpoint signs %d entries, now there are %d", oldSize, size)
	}
	return size, check(oldSize, oldRoot, "the older checkpoint")
}

// parseCheckpoint checks a checkpoint's signature and returns its size and root hash.
func parseCheckpoint(b []byte, v note.Verifier) (int64, tlog.Hash, error) {
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
