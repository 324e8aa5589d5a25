package antientropy

import (
	"time"

	"seamshunt/internal/units"
)

// Spans and counts of catching up (start values).
const (
	shortPause = 150 * time.Millisecond // between two questions, doubled after each round that no good answer came in
	longPause  = 2 * time.Second
	maxSilent  = 3 // questions without an answer after which a member is passed over
)

// A catchUp is a round over all other members, begun anew whenever one holds something newer.
type catchUp struct {
	clean  map[units.NodeID]bool // holds nothing newer than what is here
	silent map[units.NodeID]int  // questions since the last answer
	pause  time.Duration
	asked  int  // questions since the last good answer, in this round
	wait   bool // newer copies are on their way: the next question waits for them
}

// StartCatchUp begins to compare with every other member, at once: this node may have missed writes.
func (s *Syncer) StartCatchUp() {
	s.catchUp = &catchUp{clean: map[units.NodeID]bool{}, silent: map[units.NodeID]int{}, pause: shortPause}
	s.next = 0
}

// current takes that another member holds nothing newer.
func (s *Syncer) current(from units.NodeID) {
	c := s.catchUp
	if c == nil {
		return
	}
	c.clean[from], c.silent[from], c.asked, c.pause = true, 0, 0, shortPause
	if !c.wait {
		s.next = 0
	}
}

// behind takes that another member holds something newer, which is on its way.
func (s *Syncer) behind(from units.NodeID) {
	if s.catchUp == nil {
		s.StartCatchUp()
	}
	c := s.catchUp
	clear(c.clean)
	c.silent[from], c.wait = 0, true
}

// ready says whether the next question is due; it is put off while newer copies may be on their way.
func (s *Syncer) ready(now units.Time) bool {
	if c := s.catchUp; c != nil && c.wait {
		c.wait = false
		s.next = now.Add(c.pause)
	}
	return now >= s.next
}

// ask picks the member to ask next, and how long to wait for its answer.
func (c *catchUp) ask(others []units.NodeID, turn *int) (to units.NodeID, wait time.Duration) {
	if c.asked++; c.asked > len(others) {
		c.asked, c.pause = 1, min(2*c.pause, longPause)
	}
	for range others {
		to = others[*turn%len(others)]
		*turn++
		if !c.clean[to] {
			break
		}
	}
	c.silent[to]++
	return to, c.pause
}

// done says whether a full round found nothing newer. Members that stay silent are passed over once a majority, with
// this node, showed nothing newer: it meets every majority that a value may stand on.
func (c *catchUp) done(others []units.NodeID) bool {
	clean, silent := 0, 0
	for _, n := range others {
		switch {
		case c.clean[n]:
			clean++
		case c.silent[n] >= maxSilent:
			silent++
		}
	}
	majority := (len(others)+1)/2 + 1
	return clean+silent == len(others) && clean+1 >= majority
}
