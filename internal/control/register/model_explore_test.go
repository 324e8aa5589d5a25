package register

// explorer enumerates schedules. A run calls choose for a number below n; zero is the default and any other number a
// deviation. At most budget of the first depth choices of a run deviate, and every such run is made.
type explorer struct {
	depth, budget            int
	choices, alternatives    []int
	position, deviationsUsed int
}

func (e *explorer) choose(n int) int {
	if e.position >= e.depth || n <= 1 || e.deviationsUsed >= e.budget {
		return 0
	}
	if e.position == len(e.choices) {
		e.choices, e.alternatives = append(e.choices, 0), append(e.alternatives, n)
	}
	choice := e.choices[e.position]
	e.position++
	if choice != 0 {
		e.deviationsUsed++
	}
	return choice
}

// next advances to the following schedule, and reports whether there is one.
func (e *explorer) next() bool {
	e.choices, e.alternatives = e.choices[:e.position], e.alternatives[:e.position]
	e.position, e.deviationsUsed = 0, 0
	for len(e.choices) > 0 {
		last := len(e.choices) - 1
		if e.choices[last] < e.alternatives[last]-1 {
			e.choices[last]++
			return true
		}
		e.choices, e.alternatives = e.choices[:last], e.alternatives[:last]
	}
	return false
}

// explore runs every schedule until run returns false, and returns the number of schedules run.
func explore(depth, budget int, run func(choose func(int) int) bool) int {
	e := &explorer{depth: depth, budget: budget}
	for count := 1; ; count++ {
		if !run(e.choose) || !e.next() {
			return count
		}
	}
}
