// Package seamshunt holds the tests of the repository as a whole: its pages, its CI scripts and its imports.
package seamshunt

import (
	"io/fs"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	// markdownLink matches the target of a link. Titles of links aren't used in this repository.
	markdownLink = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	// markdownCode matches code, in which there are no links.
	markdownCode = regexp.MustCompile("(?s)```.*?```|`[^`\n]*`")
	heading      = regexp.MustCompile(`(?m)^#+ +(.+)$`)
	notInAnchor  = regexp.MustCompile(`[^\p{L}\p{N} _-]`)
)

// pages returns the README, the change log if there is one, and every page under docs.
func pages(t *testing.T) []string {
	t.Helper()
	found, err := filepath.Glob("*.md")
	if err != nil {
		t.Fatal(err)
	}
	err = filepath.WalkDir("docs", func(path string, _ fs.DirEntry, err error) error {
		if filepath.Ext(path) == ".md" {
			found = append(found, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// anchor returns the fragment of a link to a heading.
func anchor(title string) string {
	plain := notInAnchor.ReplaceAllString(strings.ToLower(strings.TrimSpace(title)), "")
	return strings.ReplaceAll(plain, " ", "-")
}

// hasAnchor reports whether a page has a heading with this fragment.
func hasAnchor(text, fragment string) bool {
	for _, found := range heading.FindAllStringSubmatch(text, -1) {
		if anchor(found[1]) == fragment {
			return true
		}
	}
	return false
}

// brokenLinks returns the relative links of a page whose file or heading doesn't exist.
func brokenLinks(path string) ([]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var broken []string
	for _, found := range markdownLink.FindAllStringSubmatch(markdownCode.ReplaceAllString(string(text), ""), -1) {
		link, err := url.Parse(found[1])
		if err != nil {
			broken = append(broken, found[1])
			continue
		}
		if link.IsAbs() {
			continue
		}
		target := path
		if link.Path != "" {
			target = filepath.Join(filepath.Dir(path), link.Path)
		}
		if _, err := os.Stat(target); err != nil {
			broken = append(broken, found[1])
			continue
		}
		if link.Fragment == "" {
			continue
		}
		page, err := os.ReadFile(target)
		if err != nil || !hasAnchor(string(page), link.Fragment) {
			broken = append(broken, found[1])
		}
	}
	return broken, nil
}

// The file of every relative link in the pages exists, and so does the heading if the link has a fragment.
func TestRelativeLinks(t *testing.T) {
	for _, path := range pages(t) {
		broken, err := brokenLinks(path)
		if err != nil {
			t.Error(err)
		}
		for _, link := range broken {
			t.Errorf("%s: broken link %s", path, link)
		}
	}
}

// The check finds links to missing files and headings, and ignores absolute links and code.
func TestRelativeLinksFindsBroken(t *testing.T) {
	page := filepath.Join(t.TempDir(), "page.md")
	text := "# A page, of sorts\n\n[a](page.md) [b](none.md) [c](#a-page-of-sorts) [d](page.md#none)\n" +
		"[e](https://example.org/none) `[f](code.md)`\n"
	if err := os.WriteFile(page, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	broken, err := brokenLinks(page)
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(broken, " "); got != "none.md page.md#none" {
		t.Errorf("broken links found: %s", got)
	}
}
