package antientropy

import (
	"time"

	"seamshunt/internal/units"
)

// Spans and counts of catching up (start values).
const (
	minInterval   = 150 * time.Millisecond // between two questions, doubled after each round that no good answer came in
	maxInterval   = 2 * time.Second
	maxUnanswered = 3 // questions without an answer after which a member is passed over
)

// A catchUp is a round over all other members, begun anew whenever one holds something newer.
type catchUp struct {
	notNewer       map[units.NodeID]bool // holds nothing newer than what is here
	unanswered     map[units.NodeID]int  // questions since the last answer
	interval       time.Duration
	sinceProgress  int  // questions since the last good answer, in this round
	awaitingCopies bool // newer copies are on their way: the next question waits for them
}

// StartCatchUp begins to compare with every other member, at once: this node may have missed writes.
func (s *Syncer) StartCatchUp() {
	s.catchUp = &catchUp{notNewer: map[units.NodeID]bool{}, unanswered: map[units.NodeID]int{}, interval: minInterval}
	s.nextAt = 0
}

// markNotNewer takes that another member holds nothing newer.
func (s *Syncer) markNotNewer(from units.NodeID) {
	c := s.catchUp
	if c == nil {
		return
	}
	c.notNewer[from], c.unanswered[from], c.sinceProgress, c.interval = true, 0, 0, minInterval
	if !c.awaitingCopies {
		s.nextAt = 0
	}
}

// markNewer takes that another member holds something newer, which is on its way.
func (s *Syncer) markNewer(from units.NodeID) {
	if s.catchUp == nil {
		s.StartCatchUp()
	}
	c := s.catchUp
	clear(c.notNewer)
	c.unanswered[from], c.awaitingCopies = 0, true
}

// isDue says whether the next question is due; it is put off while newer copies may be on their way.
func (s *Syncer) isDue(now units.Time) bool {
	if c := s.catchUp; c != nil && c.awaitingCopies {
		c.awaitingCopies = false
		s.nextAt = now.Add(c.interval)
	}
	return now >= s.nextAt
}

// nextPeer picks the member to ask next, and how long to wait for its answer.
func (c *catchUp) nextPeer(peers []units.NodeID, peerIndex *int) (to units.NodeID, wait time.Duration) {
	if c.sinceProgress++; c.sinceProgress > len(peers) {
		c.sinceProgress, c.interval = 1, min(2*c.interval, maxInterval)
	}
	for range peers {
		to = peers[*peerIndex%len(peers)]
		*peerIndex++
		if !c.notNewer[to] {
			break
		}
	}
	c.unanswered[to]++
	return to, c.interval
}

// complete says whether a full round found nothing newer. Members that stay silent are passed over once a majority, with
// this node, showed nothing newer: it meets every majority that a value may stand on.
func (c *catchUp) complete(peers []units.NodeID) bool {
	notNewer, unanswered := 0, 0
	for _, n := range peers {
		switch {
		case c.notNewer[n]:
			notNewer++
		case c.unanswered[n] >= maxUnanswered:
			unanswered++
		}
	}
	majority := (len(peers)+1)/2 + 1
	return notNewer+unanswered == len(peers) && notNewer+1 >= majority
}
