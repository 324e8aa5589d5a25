package standin

import "container/list"

const blockBytes = 256

// cache is a worker's prefix cache: least recently used blocks go first, a block counts only behind all before it.
type cache struct {
	maxBlocks int
	blocks    map[uint64]*list.Element
	byRecency *list.List
}

func newCache(maxBlocks int) cache {
	return cache{maxBlocks: maxBlocks, blocks: map[uint64]*list.Element{}, byRecency: list.New()}
}

// matchAndStore gives the share of the prompt whose prefix is held, and holds all of it from now on.
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
