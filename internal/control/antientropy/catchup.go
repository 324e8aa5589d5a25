package antientropy

import (
	"time"

	"seamshunt/internal/units"
)

// Intervals and limits of a catch-up.
const (
	minInterval   = 150 * time.Millisecond // between two requests; doubled after each round without a positive answer
	maxInterval   = 2 * time.Second
	maxUnanswered = 3 // requests without an answer after which a voter is skipped
)

// catchUp is a round of comparisons with all other voters. It starts again whenever one of them has something newer.
type catchUp struct {
	notNewer       map[units.NodeID]bool // voters that have nothing newer than this node
	unanswered     map[units.NodeID]int  // requests since the last answer
	interval       time.Duration         // between two requests
	sinceProgress  int                   // requests in this round since the last answer without anything newer
	awaitingCopies bool                  // newer copies are in transit: the next request waits for them
}

// StartCatchUp begins to compare with every other voter, because this node may have missed writes.
func (s *Syncer) StartCatchUp() {
	s.catchUp = &catchUp{notNewer: map[units.NodeID]bool{}, unanswered: map[units.NodeID]int{}, interval: minInterval}
	s.nextAt = 0
}

// markNotNewer records that another voter has nothing newer.
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

// markNewer records that another voter has something newer, which is in transit.
func (s *Syncer) markNewer(from units.NodeID) {
	if s.catchUp == nil {
		s.StartCatchUp()
	}
	c := s.catchUp
	clear(c.notNewer)
	c.unanswered[from], c.awaitingCopies = 0, true
}

// isDue reports whether the next request is due. It is delayed while newer copies may be in transit.
func (s *Syncer) isDue(now units.Time) bool {
	if c := s.catchUp; c != nil && c.awaitingCopies {
		c.awaitingCopies = false
		s.nextAt = now.Add(c.interval)
	}
	return now >= s.nextAt
}

// nextPeer returns the voter to send the next request to, and how long to wait for its answer.
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

// complete reports whether a full round found nothing newer. Voters that don't answer are skipped once a majority that includes
// this node has nothing newer, since it overlaps every majority that may have accepted a value.
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
