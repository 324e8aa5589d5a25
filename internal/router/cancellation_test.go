package router

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// uncancellable are calls that would let work for a request outlast its client: contexts of one's own, connections and waits
// without a context, and looks at the client of one's own.
var uncancellable = []string{
	"context.Background", "context.TODO", "context.WithoutCancel",
	"net.Dial", "net.DialTimeout", "partition.Dial",
	"time.Sleep", "Tasks.Sleep", "socket.PeerClosed",
}

// ownTime are the files that do something for the process itself rather than for a request, with what they may call.
var ownTime = map[string][]string{
	"clientwatch/clientwatch.go": {"context.Background", "socket.PeerClosed"}, // where the contexts come from
	"leave.go":                   {"context.Background", "Tasks.Sleep"},       // the end of the process
}

// selector gives the last two names of a call like v.Tasks.Sleep or net.Dial.
func selector(call *ast.CallExpr) string {
	s, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	switch x := s.X.(type) {
	case *ast.Ident:
		return x.Name + "." + s.Sel.Name
	case *ast.SelectorExpr:
		return x.Sel.Name + "." + s.Sel.Name
	}
	return ""
}

// Nothing in the data plane can work on a request without its context: what would is called nowhere else.
func TestNothingOutlastsItsClientUnseen(t *testing.T) {
	used := map[string]bool{}
	visit := func(file string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(file) != ".go" || strings.HasSuffix(file, "_test.go") {
			return err
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(parsed, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			name := selector(call)
			if !slices.Contains(uncancellable, name) {
				return true
			}
			if !slices.Contains(ownTime[filepath.ToSlash(file)], name) {
				t.Errorf("%s calls %s: take the request's context, or say here why it needs none", file, name)
			}
			used[filepath.ToSlash(file)+" "+name] = true
			return true
		})
		return nil
	}
	if err := filepath.WalkDir(".", visit); err != nil {
		t.Fatal(err)
	}
	for file, names := range ownTime {
		for _, name := range names {
			if !used[file+" "+name] {
				t.Errorf("%s calls %s no more: take it out of the list", file, name)
			}
		}
	}
}
