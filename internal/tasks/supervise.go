package tasks

import "time"

// Minimum and maximum delay before a function that returned an error is restarted.
const (
	minRestartDelay = 50 * time.Millisecond
	maxRestartDelay = 5 * time.Second
)

// Supervise calls run and restarts it while the group runs. If run returns an error, ended (unless nil) is called with
// it, and run is restarted after a delay that doubles with each consecutive failure, up to a maximum. If run returns nil,
// it isn't restarted.
func (g *Group) Supervise(run func() error, ended func(error)) {
	g.Go(func() {
		for delay := minRestartDelay; ; delay = min(2*delay, maxRestartDelay) {
			startedAt := g.Now()
			err := run()
			if err == nil || g.stopping() {
				return
			}
			if ended != nil {
				ended(err)
			}
			if g.Now().Sub(startedAt) > maxRestartDelay {
				delay = minRestartDelay
			}
			if !g.waitOrStop(delay) {
				return
			}
		}
	})
}

// stopping reports whether the group is to stop.
func (g *Group) stopping() bool {
	select {
	case <-g.stop:
		return true
	default:
		return false
	}
}

// waitOrStop waits for d. It returns false if the group is stopped before that.
func (g *Group) waitOrStop(d time.Duration) bool {
	t := g.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.Chan():
		return true
	case <-g.stop:
		return false
	}
}
