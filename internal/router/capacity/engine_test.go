package capacity

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
)

// newEngineHarness is a keeper of one engine.
func newEngineHarness() *ledgerHarness { return newHarness(Worker{Capacity: 100, MaxWaiting: 200}) }

// acquirePrompt asks for one that is read in a time, at an urgency, with its first words due in soon (0: whenever).
func (b *ledgerHarness) acquirePrompt(tag uint64, read time.Duration, urge uint8, soon time.Duration) message.Kind {
	h := Header{Tag: tag, TimeLeft: 15000, PrefillTime: uint32(read / time.Microsecond), Priority: urge, MaxFirstTokenTime: uint32(soon / ms)}
	b.collectReplies(b.Step(b.now, message.Message{From: 2, Kind: Acquire, Body: Pack(h, "s/w")}))
	return b.kinds[len(b.kinds)-1]
}

func (b *ledgerHarness) lastReply() Header { return b.replies[len(b.replies)-1] }

func (b *ledgerHarness) prefillBacklog() time.Duration {
	k := b.coordinated["s/w"]
	k.advancePrefill(b.now)
	return k.prefillBacklog(len(k.prefillQueue))
}

func TestStartedPrefillIsFinishedWhateverThePriority(t *testing.T) {
	b := newEngineHarness()
	if b.acquirePrompt(1, 1000*ms, 8, 800*ms) != Refusal || b.lastReply().TimeLeft != 1000 { // it can't be in time anywhere: the asker decides
		t.Fatalf("%+v", b.lastReply())
	}
	if b.acquirePrompt(1, 1000*ms, 8, 0) != Grant {
		t.Fatal("a prompt without a bound was not granted")
	}
	b.advance(300 * ms)
	if b.acquirePrompt(2, 20*ms, 1, 700*ms) != Refusal || b.lastReply().Reason != ReasonBusy || b.lastReply().TimeLeft != 720 {
		t.Fatalf("an urgent prompt does not wait for what is begun: %+v", b.lastReply())
	}
	if b.acquirePrompt(3, 20*ms, 1, 720*ms) != Grant {
		t.Fatal("in time, and not granted")
	}
	if b.prefillBacklog() != 720*ms {
		t.Fatal(b.prefillBacklog())
	}
	b.advance(400 * ms)
	if b.acquirePrompt(4, 20*ms, 1, 339*ms) != Refusal || b.acquirePrompt(4, 20*ms, 1, 340*ms) != Grant {
		t.Fatal("300 ms of what is begun, 20 of an equal and 20 of its own make 340")
	}
	b.advance(time.Second)
	if b.prefillBacklog() != 0 {
		t.Fatal(b.prefillBacklog())
	}
}

func TestHigherPriorityOvertakesWaitingPrefill(t *testing.T) {
	type ask struct {
		tag  uint64
		read time.Duration
		urge uint8
	}
	asks := []ask{{11, 100 * ms, 5}, {12, 200 * ms, 7}, {13, 40 * ms, 3}}
	for _, o := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		b := newEngineHarness()
		b.acquirePrompt(1, 500*ms, 9, 0)
		for _, i := range o {
			b.acquirePrompt(asks[i].tag, asks[i].read, asks[i].urge, 0)
		}
		// In every order of coming: 500 begun, then 40, 100, 200.
		for _, x := range []struct {
			urge uint8
			want uint32
		}{{2, 510}, {3, 550}, {4, 550}, {5, 650}, {6, 650}, {7, 850}, {9, 850}} {
			if b.acquirePrompt(99, 10*ms, x.urge, 1*ms) != Refusal || b.lastReply().TimeLeft != x.want {
				t.Errorf("order %v, urgency %d: %+v, want %d", o, x.urge, b.lastReply(), x.want)
			}
		}
	}
}

func TestSlowdownIsLearnedFromPromptsThatFoundNoBacklog(t *testing.T) {
	b := newEngineHarness()
	back := func(tag uint64, words time.Duration) {
		b.collectReplies(b.Step(b.now, message.Message{From: 2, Kind: Release, Body: Pack(Header{Tag: tag, PrefillTime: uint32(words / time.Microsecond)}, "s/w")}))
	}
	k := b.coordinated["s/w"]
	for i := uint64(1); i < 40; i++ {
		b.acquirePrompt(i, 100*ms, 5, 0)
		b.acquirePrompt(100+i, 100*ms, 5, 0)
		b.advance(600 * ms)
		back(i, 200*ms+baseFirstTokenTime)
		back(100+i, 9*time.Second) // behind another: tells nothing
	}
	if k.slowdown < 1.99 || k.slowdown > 2.01 {
		t.Fatalf("twice as slow, learned as %.2f", k.slowdown)
	}
	if b.acquirePrompt(1000, 100*ms, 5, 199*ms) != Refusal || b.acquirePrompt(1000, 100*ms, 5, 201*ms) != Grant {
		t.Fatal("its speed is not reckoned with")
	}
	b.advance(100 * ms)
	if x := b.prefillBacklog(); x < 99*ms || x > 101*ms {
		t.Fatal(x)
	}
	b.advance(time.Second)
	b.acquirePrompt(2000, 10*ms, 5, 0)
	back(2000, 9*time.Second) // too brief to tell
	for i := uint64(3000); i < 3100; i++ {
		b.advance(time.Second)
		b.acquirePrompt(i, 100*ms, 5, 0)
		back(i, time.Minute)
	}
	if k.slowdown > maxSlowdown {
		t.Fatal(k.slowdown)
	}
}

func TestPromptWithoutPrefillIsNeverDelayed(t *testing.T) {
	b := newEngineHarness()
	b.acquirePrompt(1, 5*time.Second, 9, 0)
	if b.acquirePrompt(2, 0, 5, 1*ms) != Grant || b.prefillBacklog() != 5*time.Second {
		t.Fatal(b.lastReply(), b.prefillBacklog())
	}
}
