// Package upstream hands prompts over to workers and checks their streams (design 8).
package upstream

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"

	"github.com/valyala/fastjson"
)

// Bounds of a worker's answer.
const (
	MaxLineBytes   = 1 << 20
	MaxAnswerBytes = 64 << 20
)

// StreamVerifier checks a worker's stream line by line.
type StreamVerifier struct {
	id     string
	next   int
	bytes  int
	sum    hash.Hash
	sealed bool
	p      fastjson.Parser
}

// NewStreamVerifier begins the check of the answer to request id.
func NewStreamVerifier(id string) *StreamVerifier { return &StreamVerifier{id: id, sum: sha256.New()} }

// VerifyLine takes one line of the stream. It says whether the line was the seal; an error means the answer is not whole.
func (s *StreamVerifier) VerifyLine(b []byte) (bool, error) {
	if s.sealed {
		return false, errors.New("upstream: a line after the seal")
	}
	v, err := s.p.ParseBytes(b)
	if err != nil {
		return false, fmt.Errorf("upstream: a line that is no JSON: %w", err)
	}
	if x := v.Get("seal"); x != nil {
		return true, s.check(x)
	}
	n, err := intOf(v, "n")
	if err != nil {
		return false, err
	}
	if n != s.next {
		return false, fmt.Errorf("upstream: piece %d where %d is due", n, s.next)
	}
	t := v.Get("text")
	if t == nil || t.Type() != fastjson.TypeString {
		return false, fmt.Errorf("upstream: piece %d has no text", n)
	}
	text := t.GetStringBytes()
	s.next++
	s.bytes += len(text)
	if s.bytes > MaxAnswerBytes {
		return false, fmt.Errorf("upstream: an answer of more than %d bytes", MaxAnswerBytes)
	}
	s.sum.Write(text)
	return false, nil
}

func intOf(v *fastjson.Value, name string) (int, error) {
	x := v.Get(name)
	if x == nil {
		return 0, fmt.Errorf("upstream: %s is missing", name)
	}
	n, err := x.Int()
	if err != nil {
		return 0, fmt.Errorf("upstream: %s: %w", name, err)
	}
	return n, nil
}

func (s *StreamVerifier) check(x *fastjson.Value) error {
	if id := string(x.GetStringBytes("id")); id != s.id {
		return fmt.Errorf("upstream: sealed for request %q", id)
	}
	n, err := intOf(x, "pieces")
	if err != nil {
		return err
	}
	l, err := intOf(x, "bytes")
	if err != nil {
		return err
	}
	if n != s.next || l != s.bytes {
		return fmt.Errorf("upstream: sealed %d pieces of %d bytes, came %d of %d", n, l, s.next, s.bytes)
	}
	if d := string(x.GetStringBytes("digest")); d != hex.EncodeToString(s.sum.Sum(nil)) {
		return errors.New("upstream: the digest does not fit")
	}
	s.sealed = true
	return nil
}

// Complete says whether the seal has come and fits.
func (s *StreamVerifier) Complete() bool { return s.sealed }
