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

// uncancellable lists calls with which work for a request could outlast its client: contexts not derived from the request's,
// dials and waits without a context, and direct checks of the client's connection.
var uncancellable = []string{
	"context.Background", "context.TODO", "context.WithoutCancel",
	"net.Dial", "net.DialTimeout", "partition.Dial",
	"time.Sleep", "Tasks.Sleep", "socket.PeerClosed",
}

// exemptions lists, by file, the uncancellable calls made on behalf of the process itself rather than of a request.
var exemptions = map[string][]string{
	"clientwatch/clientwatch.go": {"context.Background", "socket.PeerClosed"}, // creates the requests' contexts
	"drain.go":                   {"context.Background", "Tasks.Sleep"},       // shuts the process down
}

// calledName returns the last two names of a call such as v.Tasks.Sleep or net.Dial.
func calledName(call *ast.CallExpr) string {
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

// Work on a request is always bound to the request's context: no file in the data plane makes an uncancellable call unless
// it is exempt.
func TestRequestWorkIsCancellable(t *testing.T) {
	usedExemptions := map[string]bool{}
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
			name := calledName(call)
			if !slices.Contains(uncancellable, name) {
				return true
			}
			if !slices.Contains(exemptions[filepath.ToSlash(file)], name) {
				t.Errorf("%s calls %s: use the request's context, or add an exemption here with the reason", file, name)
			}
			usedExemptions[filepath.ToSlash(file)+" "+name] = true
			return true
		})
		return nil
	}
	if err := filepath.WalkDir(".", visit); err != nil {
		t.Fatal(err)
	}
	for file, names := range exemptions {
		for _, name := range names {
			if !usedExemptions[file+" "+name] {
				t.Errorf("%s no longer calls %s: remove the exemption", file, name)
			}
		}
	}
}
