package upstream

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
)

func sealedLines(id string, texts ...string) []string {
	h, n := sha256.New(), 0
	var l []string
	for i, t := range texts {
		h.Write([]byte(t))
		n += len(t)
		l = append(l, fmt.Sprintf(`{"n":%d,"text":%q}`, i, t))
	}
	return append(l, fmt.Sprintf(`{"seal":{"id":%q,"pieces":%d,"bytes":%d,"digest":%q}}`, id, len(texts), n, hex.EncodeToString(h.Sum(nil))))
}

// verifies reports whether a verifier accepts the lines as a complete answer.
func verifies(id string, l []string) bool {
	s := NewStreamVerifier(id)
	for _, x := range l {
		if _, err := s.VerifyLine([]byte(x)); err != nil {
			return false
		}
	}
	return s.Complete()
}

// Every kind of damage to a sealed answer of three pieces must be detected, and the undamaged answer must pass
// (docs/design.md, section 8).
func TestVerifierDetectsEveryDamage(t *testing.T) {
	good := sealedLines("r1", "a", "bb", "ccc")
	if !verifies("r1", good) {
		t.Fatal("a valid answer is rejected")
	}
	if verifies("r2", good) {
		t.Error("another request's answer is accepted")
	}
	var bad [][]string
	for i := range good {
		bad = append(bad, append(append([]string(nil), good[:i]...), good[i+1:]...)) // one line missing
		bad = append(bad, append(append([]string(nil), good[:i+1]...), good[i:]...)) // one line repeated
		for j := range good {
			if i != j {
				x := append([]string(nil), good...)
				x[i], x[j] = x[j], x[i]
				bad = append(bad, x) // two lines swapped
			}
		}
	}
	other := sealedLines("r1", "a", "xx", "ccc")
	bad = append(bad, []string{good[0], other[1], good[2], good[3]}) // spliced from two runs
	bad = append(bad, append(append([]string(nil), good...), `{"n":3,"text":"d"}`))
	bad = append(bad, []string{good[0], "no json", good[2], good[3]}, nil)
	for i, x := range bad {
		if verifies("r1", x) {
			t.Errorf("damaged answer %d is accepted: %v", i, x)
		}
	}
}

// A piece out of order is rejected when it arrives, not only by the seal, so that it never reaches the client.
func TestVerifierRejectsPieceOutOfOrder(t *testing.T) {
	for _, x := range []string{`{"n":0,"text":"a"}`, `{"n":2,"text":"c"}`, `{"n":-1,"text":"c"}`, `{"n":1}`, `{"text":"b"}`, `{"n":1,"text":7}`} {
		s := NewStreamVerifier("r1")
		if _, err := s.VerifyLine([]byte(`{"n":0,"text":"a"}`)); err != nil {
			t.Fatal(err)
		}
		if _, err := s.VerifyLine([]byte(x)); err == nil {
			t.Errorf("%s is accepted after piece 0", x)
		}
	}
}
