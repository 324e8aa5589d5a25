package standin

import "container/list"

// blockBytes is the length of the blocks in which prompts are cached.
const blockBytes = 256

// cache is a worker's prefix cache. The least recently used blocks are evicted first; a block is a hit only if all blocks
// before it are.
type cache struct {
	maxBlocks int
	blocks    map[uint64]*list.Element // by the FNV-1a hash of the prompt up to the end of the block
	byRecency *list.List               // of hashes; the front is the most recently used
}

func newCache(maxBlocks int) cache {
	return cache{maxBlocks: maxBlocks, blocks: map[uint64]*list.Element{}, byRecency: list.New()}
}

// matchAndStore returns the fraction of the prompt that is a cached prefix, and caches the whole prompt.
func (c *cache) matchAndStore(prompt string) float64 {
	hash := uint64(14695981039346656037)
	hits, total, matching := 0, 0, true
	for i := 0; i < len(prompt); i++ {
		hash = (hash ^ uint64(prompt[i])) * 1099511628211
		if (i+1)%blockBytes != 0 {
			continue
		}
		total++
		element := c.blocks[hash]
		if element == nil {
			matching = false
			c.blocks[hash] = c.byRecency.PushFront(hash)
			if c.byRecency.Len() > c.maxBlocks {
				oldest := c.byRecency.Back()
				delete(c.blocks, oldest.Value.(uint64))
				c.byRecency.Remove(oldest)
			}
			continue
		}
		c.byRecency.MoveToFront(element)
		if matching {
			hits++
		}
	}
	if total == 0 {
		return 0
	}
	return float64(hits*blockBytes) / float64(len(prompt))
}
