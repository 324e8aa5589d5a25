package barograph

import (
	"time"

	"seamshunt/internal/station"
	"seamshunt/internal/synop"
	"seamshunt/internal/units"
)

// wish is an Ask on its way to an owner.
type wish struct {
	Ask
	to units.Node
	at units.Time
}

// Patience is how long a wish may take before its asker is told that the outcome is unknown.
const Patience = 5 * time.Second

// Ask starts a wish here; its Result turns up in Results. It goes to the owner this node believes in.
func (b *Barograph) Ask(now units.Time, a Ask) (out station.Out) {
	a.From = b.self
	to := b.Owner(a.Key)
	if b.cfg.Ver == 0 || to == 0 {
		b.result(Result{Tag: a.Tag, Code: synop.NoMajority})
		return out
	}
	w := &wish{Ask: a, to: to, at: now}
	b.wishes[a.Tag] = w
	b.send(w, &out)
	return out
}

func (b *Barograph) send(w *wish, out *station.Out) {
	h := head{Tag: w.Tag, Num: uint64(w.Expect)}
	if w.Write {
		h.Write = 1
	}
	out.Send(w.to, Call, b.pack(h, w.Key, station.Pack(planHead{}, []byte(w.Plan), w.Data)))
}

// wishTick sends wishes on when their key has another owner: reads, and writes whose plan id keeps them from being
// made twice.
func (b *Barograph) wishTick(now units.Time, out *station.Out) {
	for _, tag := range station.Keys(b.wishes) {
		w := b.wishes[tag]
		to := b.Owner(w.Key)
		switch {
		case now.Sub(w.at) > Patience:
			delete(b.wishes, tag)
		case to != 0 && to != w.to && (!w.Write || w.Plan != ""):
			w.to = to
			b.send(w, out)
		}
	}
}

// again says whether a wish that met an owner no longer one, or not yet one, will be sent once more: then its
// asker need not be told yet.
func (b *Barograph) again(tag uint64) bool {
	w := b.wishes[tag]
	if w == nil || w.Write && w.Plan == "" {
		return false
	}
	w.to = 0 // the next tick sends it, to whoever owns the key then
	return true
}
