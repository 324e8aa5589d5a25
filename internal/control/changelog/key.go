package changelog

import (
	"bytes"
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/mod/sumdb/note"
)

// loadSigner reads the node's key, or generates one at the first start. A key that a power loss left torn was never
// used, so a new one is generated. If a log exists beside a key that can't be parsed, it is set aside with the key, since no
// other key can sign it.
func loadSigner(dir, name string) (note.Signer, error) {
	key, err := os.ReadFile(filepath.Join(dir, secretKeyFile))
	if err == nil {
		if s, err := note.NewSigner(string(bytes.TrimSpace(key))); err == nil {
			return s, nil
		}
		err = setAside(dir)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("changelog: %w", err)
	}
	skey, vkey, err := note.GenerateKey(rand.Reader, name)
	if err != nil {
		return nil, fmt.Errorf("changelog: %w", err)
	}
	// The secret key is written last, so that the public one exists whenever it does.
	if err := errors.Join(writeFile(dir, publicKeyFile, []byte(vkey+"\n"), 0o644),
		writeFile(dir, secretKeyFile, []byte(skey), 0o600)); err != nil {
		return nil, err
	}
	s, err := note.NewSigner(skey)
	if err != nil {
		return nil, fmt.Errorf("changelog: %w", err)
	}
	return s, nil
}

// setAside renames the files of a log that can't be continued.
func setAside(dir string) error {
	suffix := fmt.Sprintf(".damaged-%d", time.Now().UnixNano())
	for _, n := range []string{entriesFile, checkpointFile, publicKeyFile, secretKeyFile} {
		if err := os.Rename(filepath.Join(dir, n), filepath.Join(dir, n+suffix)); err != nil &&
			!errors.Is(err, os.ErrNotExist) {
			return err
		}
	}
	return nil
}

// writeFile writes a file atomically: it syncs it under a temporary name, renames it, and syncs the directory.
func writeFile(dir, name string, b []byte, mode os.FileMode) error {
	tmp := filepath.Join(dir, name+".new")
	f, err := os.OpenFile(tmp, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, mode)
	if err != nil {
		return fmt.Errorf("changelog: %w", err)
	}
	_, err = f.Write(b)
	if err := errors.Join(err, f.Sync(), f.Close()); err != nil {
		return fmt.Errorf("changelog: %w", err)
	}
	d, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("changelog: %w", err)
	}
	defer d.Close()
	if err := errors.Join(os.Rename(tmp, filepath.Join(dir, name)), d.Sync()); err != nil {
		return fmt.Errorf("changelog: %w", err)
	}
	return nil
}
