package scaletest

import (
	"fmt"
	"strings"
	"time"

	"seamshunt/internal/cluster/membership"
	"seamshunt/internal/cluster/message"
	"seamshunt/internal/config"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/router/admission"
	"seamshunt/internal/router/idempotency"
	"seamshunt/internal/units"
)

// What prompts are like: their mean run keeps 30,870 streams open at 1,700 requests a second (490,000 tokens a
// second at one in 63 ms each), which is 48 to a worker.
const (
	meanRun  = 18200 * time.Millisecond
	deadline = 60 * time.Second
	knee     = 64
	prefixes = 1_100_000
)

// load is what the world asks of its nodes, and what came of it.
type load struct {
	workers       []config.Worker
	pool          map[string][]int
	poolNames     []string
	traffic       bool
	claims        bool
	Polls         int
	ChangeResults map[resultcode.Code]int // operators' changes by their outcome
	Decisions     map[resultcode.Code]int
	ClaimResults  map[resultcode.Code]int
	asked         map[units.Version]units.Time
	taken         map[units.Version]int
	MaxApplyTime  time.Duration // the longest from an operator's change to its being in force on the last router
	changes       int
	serial        int
}

func newLoad(s SiteSize) *load {
	l := &load{pool: map[string][]int{}, ChangeResults: map[resultcode.Code]int{}, Decisions: map[resultcode.Code]int{}, ClaimResults: map[resultcode.Code]int{},
		asked: map[units.Version]units.Time{}, taken: map[units.Version]int{}}
	for i := range s.Models {
		l.poolNames = append(l.poolNames, fmt.Sprintf("pool%02d", i))
	}
	for i := range s.Workers {
		l.join(i)
	}
	return l
}

func (l *load) join(i int) {
	z := site[(i/len(l.poolNames)+i)%len(site)].zone
	l.workers = append(l.workers, config.Worker{ID: fmt.Sprintf("w%04d", i), Addr: fmt.Sprintf("w%04d.%s.site.example:8000", i, z), Zone: z, Age: time.Hour})
	p := l.poolNames[i%len(l.poolNames)]
	l.pool[p] = append(l.pool[p], i)
}

// listed is the platform's answer for one pool.
func (w *Simulation) listed(p string) []config.Worker {
	l := make([]config.Worker, len(w.pool[p]))
	for i, x := range w.pool[p] {
		l[i] = w.workers[x]
		l[i].Age += time.Duration(w.Now)
	}
	return l
}

// ConfigDocument lays out a configuration of a service for each model and a mapping for each tenant.
func ConfigDocument(models, tenants int, note string) []byte {
	var s, m []string
	for i := range models {
		s = append(s, fmt.Sprintf(`{"name":"m%02d","pool":"pool%02d","cap":%d,"waitlist":%d,"warm_ms":0,"spread":4,"first_ms":160}`, i, i, knee, 2*knee))
	}
	for i := range tenants {
		m = append(m, fmt.Sprintf(`"mapping t%03d { when path = \"/v1/chat\" and header \"Tenant\" = \"tenant-%03d\" to m%02d promise talk repeat }"`, i, i, i%models))
	}
	return []byte(fmt.Sprintf("{\"services\":[%s],\n\"promises\":[{\"name\":\"talk\",\"first_ms\":710,\"deadline_ms\":%d}],\n\"layout\":[\"# %s\",\n%s]}",
		strings.Join(s, ",\n"), deadline.Milliseconds(), note, strings.Join(m, ",\n")))
}

// WriteConfig has the first voter's operator write a new configuration.
func (w *Simulation) WriteConfig() {
	w.changes++
	w.asked[units.Version(w.changes)] = w.Now
	for _, n := range w.nodes {
		if n.role == membership.Controller {
			n.prog.(*core).change(ConfigDocument(w.Models, w.Tenants, fmt.Sprintf("change %d", w.changes)))
			return
		}
	}
}

// inForce is told that one more router has a configuration in force.
func (w *Simulation) inForce(num units.Version, now units.Time) {
	if w.taken[num]++; w.taken[num] == w.Routers {
		w.MaxApplyTime = max(w.MaxApplyTime, now.Sub(w.asked[num]))
	}
}

// prompts has a router's callers come at its share of the rate, as long as there is traffic.
func (v *router) prompts() {
	w, life := v.n.w, v.n.life
	gap := float64(w.Routers) / w.Rate * 1e9
	w.Schedule(time.Duration(w.rng.ExpFloat64()*gap), func() {
		if !v.n.up || v.n.life != life || !(w.traffic || w.claims) {
			return
		}
		if w.traffic && v.ready {
			v.n.timed(message.KindCapacity, v.arrive)
		}
		if w.claims && v.ready {
			v.n.timed(message.KindClaim, v.claim)
		}
		v.prompts()
	})
}

// arrive takes one prompt to the desk; nothing runs behind it but the time that its stream would last.
func (v *router) arrive() message.Effects {
	w, now := v.n.w, v.n.w.Now
	s := v.config.Services[fmt.Sprintf("m%02d", w.rng.IntN(w.Models))]
	cands, keepers := v.cands(now, s, units.Mix("prefix", fmt.Sprint(w.rng.IntN(prefixes))))
	v.tag++
	out := v.queue.Submit(now, admission.Request{Tag: v.tag, Policy: s.AdmissionPolicy, Candidates: cands, MaxCandidates: s.PreferredCount + 4, Deadline: now.Add(deadline), FirstTokenTime: s.FirstTokenTime,
		Coordinator: func(n string) units.NodeID { return keepers[n] }})
	v.tell()
	return out
}

// claim claims one fresh key, as a prompt that may not repeat does first.
func (v *router) claim() message.Effects {
	v.tag++
	key := "notice/" + units.Hex(v.tag)
	return v.claimant.Claim(v.n.w.Now, v.tag<<8^uint64(v.n.self), key, idempotency.Holders(v.n.membership.All(), key))
}

// tell takes the queue's verdicts and the claimant's results.
func (v *router) tell() {
	w, life := v.n.w, v.n.life
	for _, x := range v.queue.Decisions {
		w.Decisions[x.Code]++
		if x.Code != resultcode.OK {
			continue
		}
		run := min(time.Duration(w.rng.ExpFloat64()*float64(meanRun)), deadline-time.Second)
		w.Schedule(run, func() {
			if v.n.up && v.n.life == life {
				v.n.timed(message.KindCapacity, func() message.Effects { return v.queue.Done(w.Now, x.Tag, false) })
			}
		})
	}
	v.queue.Decisions = v.queue.Decisions[:0]
	for _, r := range v.claimant.Results {
		w.ClaimResults[r.Code]++
	}
	v.claimant.Results = v.claimant.Results[:0]
}
