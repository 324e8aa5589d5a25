package upstream

import "hash/maphash"

// recentIDCount is the number of last request ids stored per connection. A surplus answer to a request arrives within that
// many further requests.
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
