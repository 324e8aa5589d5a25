package upstream

import "hash/maphash"

// recentMost is how many of its last requests a connection remembers. A worker's surplus answer comes within that many.
const recentMost = 16

var recentSeed = maphash.MakeSeed()

// recentIDs are the ids of a connection's last requests, hashed. Two ids that share a hash cost a needless new
// connection, never a wrong answer.
type recentIDs struct {
	hashes [recentMost]uint64
	count  int // of all that were added
}

func (r *recentIDs) add(id string) {
	r.hashes[r.count%recentMost] = maphash.String(recentSeed, id)
	r.count++
}

func (r *recentIDs) has(id string) bool {
	hash := maphash.String(recentSeed, id)
	for _, h := range r.hashes[:min(r.count, recentMost)] {
		if h == hash {
			return true
		}
	}
	return false
}
