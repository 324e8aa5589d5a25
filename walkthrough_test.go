package seamshunt

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	// codeName matches package.function or package.type.function in a page.
	codeName = regexp.MustCompile("`([a-z]+\\.(?:[A-Za-z]+\\.)?[A-Za-z]+)`")
	// folderName matches a folder of this module in a page.
	folderName = regexp.MustCompile("`((?:internal|cmd|platform)(?:/[a-z]+)*)`")
)

// receiver returns the name of a method's type followed by a dot, or an empty string for a function.
func receiver(f *ast.FuncDecl) string {
	if f.Recv == nil {
		return ""
	}
	kind := f.Recv.List[0].Type
	if pointer, ok := kind.(*ast.StarExpr); ok {
		kind = pointer.X
	}
	if name, ok := kind.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}

// declaredNames returns package.function, package.type.function and package.type of all declarations in this module,
// except those of tests.
func declaredNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	visit := func(file string, _ fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(file) != ".go" || strings.HasSuffix(file, "_test.go") {
			return err
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, declaration := range parsed.Decls {
			switch d := declaration.(type) {
			case *ast.FuncDecl:
				names[parsed.Name.Name+"."+receiver(d)+d.Name.Name] = true
			case *ast.GenDecl:
				for _, spec := range d.Specs {
					if s, ok := spec.(*ast.TypeSpec); ok {
						names[parsed.Name.Name+"."+s.Name.Name] = true
					}
				}
			}
		}
		return nil
	}
	for _, root := range []string{"cmd", "internal", "platform"} {
		if err := filepath.WalkDir(root, visit); err != nil {
			t.Fatal(err)
		}
	}
	return names
}

// Every function and type named in the walkthrough exists.
func TestWalkthroughNames(t *testing.T) {
	page, err := os.ReadFile("docs/walkthrough.md")
	if err != nil {
		t.Fatal(err)
	}
	names := declaredNames(t)
	found := codeName.FindAllStringSubmatch(string(page), -1)
	if len(found) < 20 {
		t.Fatalf("only %d names found in the page", len(found))
	}
	for _, name := range found {
		if !strings.HasSuffix(name[1], ".md") && !names[name[1]] {
			t.Errorf("docs/walkthrough.md: there is no %s", name[1])
		}
	}
}

// The design page names every folder with a package of this module, and no folder that doesn't exist.
func TestDesignMap(t *testing.T) {
	page, err := os.ReadFile("docs/design.md")
	if err != nil {
		t.Fatal(err)
	}
	named := map[string]bool{}
	for _, found := range folderName.FindAllStringSubmatch(string(page), -1) {
		named[found[1]] = true
		if _, err := os.Stat(found[1]); err != nil {
			t.Errorf("docs/design.md names %s: %v", found[1], err)
		}
	}
	for d := range dependencies(t) {
		for _, folder := range []string{d.from, d.to} {
			if !named[folder] {
				t.Errorf("docs/design.md doesn't name the folder %s", folder)
			}
		}
	}
}
