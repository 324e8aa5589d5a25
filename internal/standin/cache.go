package standin

import "container/list"

const block = 256

// cache is a worker's prefix cache: least recently used blocks go first, a block counts only behind all before it.
type cache struct {
	most int
	at   map[uint64]*list.Element
	ages *list.List
}

func newCache(n int) cache { return cache{most: n, at: map[uint64]*list.Element{}, ages: list.New()} }

// take gives the share of the prompt whose prefix is held, and holds all of it from now on.
func (c *cache) take(prompt string) float64 {
	h := uint64(14695981039346656037)
	hit, all, known := 0, 0, true
	for i := 0; i < len(prompt); i++ {
		h = (h ^ uint64(prompt[i])) * 1099511628211
		if (i+1)%block != 0 {
			continue
		}
		all++
		e := c.at[h]
		if e == nil {
			known = false
			c.at[h] = c.ages.PushFront(h)
			if c.ages.Len() > c.most {
				old := c.ages.Back()
				delete(c.at, old.Value.(uint64))
				c.ages.Remove(old)
			}
			continue
		}
		c.ages.MoveToFront(e)
		if known {
			hit++
		}
	}
	if all == 0 {
		return 0
	}
	return float64(hit*block) / float64(len(prompt))
}
