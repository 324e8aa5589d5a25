package config

import (
	"fmt"

	"seamshunt/internal/resultcode"
)

// The layout's words: names, quoted texts, and the marks { } , =
type token struct {
	kind      byte // 'n' name, 's' text, 0 end, or the mark itself
	text      string
	line, col int
}

func (t token) at() string { return fmt.Sprintf("layout line %d column %d", t.line, t.col) }

func nameByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.'
}

func lex(s string, f *faults) []token {
	var l []token
	line, col := 1, 1
	for i := 0; i < len(s); {
		c := s[i]
		t := token{line: line, col: col}
		n := 1
		switch {
		case c == '\n':
			line, col = line+1, 0
		case c == ' ' || c == '\t' || c == '\r':
		case c == '#':
			for i+n < len(s) && s[i+n] != '\n' {
				n++
			}
		case c == '{' || c == '}' || c == ',' || c == '=':
			t.kind = c
			l = append(l, t)
		case c == '"':
			for i+n < len(s) && s[i+n] != '"' && s[i+n] != '\n' {
				n++
			}
			if i+n >= len(s) || s[i+n] != '"' {
				f.add(resultcode.InvalidRule, t.at(), "a text that never ends")
				return append(l, token{line: line, col: col})
			}
			t.kind, t.text = 's', s[i+1:i+n]
			n++
			l = append(l, t)
		case nameByte(c):
			for i+n < len(s) && nameByte(s[i+n]) {
				n++
			}
			t.kind, t.text = 'n', s[i:i+n]
			l = append(l, t)
		default:
			f.add(resultcode.InvalidRule, t.at(), fmt.Sprintf("%q has no meaning here", c))
		}
		i += n
		col += n
	}
	return append(l, token{line: line, col: col})
}
