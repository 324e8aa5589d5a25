package upstream

import "hash/maphash"

// recentIDCount is how many of its last requests a connection remembers. A worker's surplus answer comes within that many.
const recentIDCount = 16

var recentIDSeed = maphash.MakeSeed()

// recentIDs are the ids of a connection's last requests, hashed. Two ids that share a hash cost a needless new
// connection, never a wrong answer.
type recentIDs struct {
	hashes [recentIDCount]uint64
	count  int // of all that were added
}

func (r *recentIDs) add(id string) {
	r.hashes[r.count%recentIDCount] = maphash.String(recentIDSeed, id)
	r.count++
}

func (r *recentIDs) has(id string) bool {
	hash := maphash.String(recentIDSeed, id)
	for _, h := range r.hashes[:min(r.count, recentIDCount)] {
		if h == hash {
			return true
		}
	}
	return false
}
