package upstream

import "hash/maphash"

// recentIDCount is how many of its last requests a connection remembers. A worker sends a surplus answer within that many.
const recentIDCount = 16

var recentIDSeed = maphash.MakeSeed()

// recentIDs holds the hashed ids of a connection's last requests. A hash collision costs an unnecessary new connection,
// never a wrong answer.
type recentIDs struct {
	hashes [recentIDCount]uint64
	count  int // ids added so far
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
