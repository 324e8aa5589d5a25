package upstream

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
)

func lines(id string, texts ...string) []string {
	h, n := sha256.New(), 0
	var l []string
	for i, t := range texts {
		h.Write([]byte(t))
		n += len(t)
		l = append(l, fmt.Sprintf(`{"n":%d,"text":%q}`, i, t))
	}
	return append(l, fmt.Sprintf(`{"seal":{"id":%q,"pieces":%d,"bytes":%d,"digest":%q}}`, id, len(texts), n, hex.EncodeToString(h.Sum(nil))))
}

// whole feeds lines to a seal and says whether the answer counts as whole.
func whole(id string, l []string) bool {
	s := NewStreamVerifier(id)
	for _, x := range l {
		if _, err := s.VerifyLine([]byte(x)); err != nil {
			return false
		}
	}
	return s.Complete()
}

// Every way of damaging a sealed answer of three pieces must be seen; the undamaged one must pass (design 8).
func TestSealSeesEveryDamage(t *testing.T) {
	good := lines("r1", "a", "bb", "ccc")
	if !whole("r1", good) {
		t.Fatal("a good answer is not taken")
	}
	if whole("r2", good) {
		t.Error("another request's answer is taken")
	}
	var bad [][]string
	for i := range good {
		bad = append(bad, append(append([]string(nil), good[:i]...), good[i+1:]...)) // one missing
		bad = append(bad, append(append([]string(nil), good[:i+1]...), good[i:]...)) // one doubled
		for j := range good {
			if i != j {
				x := append([]string(nil), good...)
				x[i], x[j] = x[j], x[i]
				bad = append(bad, x) // two in the wrong order
			}
		}
	}
	other := lines("r1", "a", "xx", "ccc")
	bad = append(bad, []string{good[0], other[1], good[2], good[3]}) // spliced from two runs
	bad = append(bad, append(append([]string(nil), good...), `{"n":3,"text":"d"}`))
	bad = append(bad, []string{good[0], "no json", good[2], good[3]}, nil)
	for i, x := range bad {
		if whole("r1", x) {
			t.Errorf("damage %d is taken as whole: %v", i, x)
		}
	}
}

// A piece out of its turn is refused as it comes, not only by the seal: it must never reach the caller.
func TestSealStopsAtThePiece(t *testing.T) {
	for _, x := range []string{`{"n":0,"text":"a"}`, `{"n":2,"text":"c"}`, `{"n":-1,"text":"c"}`, `{"n":1}`, `{"text":"b"}`, `{"n":1,"text":7}`} {
		s := NewStreamVerifier("r1")
		if _, err := s.VerifyLine([]byte(`{"n":0,"text":"a"}`)); err != nil {
			t.Fatal(err)
		}
		if _, err := s.VerifyLine([]byte(x)); err == nil {
			t.Errorf("after piece 0, %s is taken", x)
		}
	}
}
