package config

import (
	"fmt"

	"seamshunt/internal/resultcode"
)

// token is one token of the layout: a name, a quoted text or one of the marks { } , =
type token struct {
	kind      byte // 'n' for a name, 's' for a text, 0 at the end, otherwise the mark itself
	text      string
	line, col int
}

func (t token) position() string { return fmt.Sprintf("layout line %d column %d", t.line, t.col) }

func isNameByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.'
}

// lex splits the layout into tokens; the last one is the end token.
func lex(s string, faults *faultList) []token {
	var tokens []token
	line, col := 1, 1
	for i := 0; i < len(s); {
		char := s[i]
		t := token{line: line, col: col}
		width := 1
		switch {
		case char == '\n':
			line, col = line+1, 0
		case char == ' ' || char == '\t' || char == '\r':
		case char == '#':
			for i+width < len(s) && s[i+width] != '\n' {
				width++
			}
		case char == '{' || char == '}' || char == ',' || char == '=':
			t.kind = char
			tokens = append(tokens, t)
		case char == '"':
			for i+width < len(s) && s[i+width] != '"' && s[i+width] != '\n' {
				width++
			}
			if i+width >= len(s) || s[i+width] != '"' {
				faults.add(resultcode.InvalidRule, t.position(), "a text that never ends")
				return append(tokens, token{line: line, col: col})
			}
			t.kind, t.text = 's', s[i+1:i+width]
			width++
			tokens = append(tokens, t)
		case isNameByte(char):
			for i+width < len(s) && isNameByte(s[i+width]) {
				width++
			}
			t.kind, t.text = 'n', s[i:i+width]
			tokens = append(tokens, t)
		default:
			faults.add(resultcode.InvalidRule, t.position(), fmt.Sprintf("%q has no meaning here", char))
		}
		i += width
		col += width
	}
	return append(tokens, token{line: line, col: col})
}
