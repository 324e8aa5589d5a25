package tasks

import "time"

// Pauses before a part that has ended is started again.
const (
	pauseLeast = 50 * time.Millisecond
	pauseMost  = 5 * time.Second
)

// Supervise runs a part of the process that is to last as long as the group. When it ends with an error, ended, if any, is told, and
// it is run again after a pause that grows with each end in a row. One that ends without an error is over.
func (c *Group) Supervise(run func() error, ended func(error)) {
	c.Go(func() {
		for pause := pauseLeast; ; pause = min(2*pause, pauseMost) {
			began := c.Now()
			err := run()
			if err == nil || c.over() {
				return
			}
			if ended != nil {
				ended(err)
			}
			if c.Now().Sub(began) > pauseMost {
				pause = pauseLeast
			}
			if !c.pause(pause) {
				return
			}
		}
	})
}

// over says whether the group is to end.
func (c *Group) over() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// pause waits, and says false if the group is to end.
func (c *Group) pause(d time.Duration) bool {
	t := c.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.Chan():
		return true
	case <-c.stop:
		return false
	}
}
