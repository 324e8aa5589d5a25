package register

// explorer enumerates schedules. A run asks choose for a number below n; zero is the ordinary course and anything else a
// deviation. Of the first depth choices of a run at most budget deviate, and every such run is tried.
type explorer struct {
	depth, budget int
	path, width   []int
	at, spent     int
}

func (e *explorer) choose(n int) int {
	if e.at >= e.depth || n <= 1 || e.spent >= e.budget {
		return 0
	}
	if e.at == len(e.path) {
		e.path, e.width = append(e.path, 0), append(e.width, n)
	}
	choice := e.path[e.at]
	e.at++
	if choice != 0 {
		e.spent++
	}
	return choice
}

// next moves on to the following schedule, and says whether there is one.
func (e *explorer) next() bool {
	e.path, e.width = e.path[:e.at], e.width[:e.at]
	e.at, e.spent = 0, 0
	for len(e.path) > 0 {
		last := len(e.path) - 1
		if e.path[last] < e.width[last]-1 {
			e.path[last]++
			return true
		}
		e.path, e.width = e.path[:last], e.width[:last]
	}
	return false
}

// explore runs every schedule until one returns false, and counts them.
func explore(depth, budget int, run func(choose func(int) int) bool) int {
	e := &explorer{depth: depth, budget: budget}
	for count := 1; ; count++ {
		if !run(e.choose) || !e.next() {
			return count
		}
	}
}
