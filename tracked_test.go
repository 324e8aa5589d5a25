package seamshunt

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
)

// executableMagic is the start of every executable file on Linux.
var executableMagic = []byte("\x7fELF")

// notSources are folders for the output of builds and runs, which is not committed.
var notSources = map[string]bool{".git": true, "bin": true, "bin-cuts": true, "run": true, "target": true}

// There are no executable files among the sources.
func TestNoBuiltPrograms(t *testing.T) {
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && notSources[path]:
			return filepath.SkipDir
		case !entry.Type().IsRegular():
			return nil
		}
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		defer file.Close()
		magic := make([]byte, len(executableMagic))
		if n, _ := file.Read(magic); n == len(magic) && bytes.Equal(magic, executableMagic) {
			t.Errorf("%s is an executable file", path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
