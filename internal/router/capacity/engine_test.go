package capacity

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
)

// newEngineHarness returns the coordinator of one inference engine with plenty of permits.
func newEngineHarness() *ledgerHarness { return newHarness(Worker{Capacity: 100, MaxWaiting: 200}) }

// acquirePrompt requests a permit for a prompt and returns the kind of the reply. The first token is due within
// maxFirstToken, or at any time if that is 0.
func (b *ledgerHarness) acquirePrompt(tag uint64, prefill time.Duration, priority uint8,
	maxFirstToken time.Duration) message.Kind {
	h := Header{Tag: tag, TimeLeft: 15000, PrefillTime: uint32(prefill / time.Microsecond), Priority: priority,
		MaxFirstTokenTime: uint32(maxFirstToken / ms)}
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
	// The prompt can't meet its time on any worker; the requesting router decides what to do.
	if b.acquirePrompt(1, 1000*ms, 8, 800*ms) != Refusal || b.lastReply().TimeLeft != 1000 {
		t.Fatalf("%+v", b.lastReply())
	}
	if b.acquirePrompt(1, 1000*ms, 8, 0) != Grant {
		t.Fatal("a prompt without a limit was not granted")
	}
	b.advance(300 * ms)
	if b.acquirePrompt(2, 20*ms, 1, 700*ms) != Refusal || b.lastReply().Reason != ReasonBusy || b.lastReply().TimeLeft != 720 {
		t.Fatalf("a prompt of high priority does not wait for the started prefill: %+v", b.lastReply())
	}
	if b.acquirePrompt(3, 20*ms, 1, 720*ms) != Grant {
		t.Fatal("in time, but not granted")
	}
	if b.prefillBacklog() != 720*ms {
		t.Fatal(b.prefillBacklog())
	}
	b.advance(400 * ms)
	if b.acquirePrompt(4, 20*ms, 1, 339*ms) != Refusal || b.acquirePrompt(4, 20*ms, 1, 340*ms) != Grant {
		t.Fatal("want 340 ms: 300 of the started prefill, 20 of one of equal priority and 20 of its own")
	}
	b.advance(time.Second)
	if b.prefillBacklog() != 0 {
		t.Fatal(b.prefillBacklog())
	}
}

func TestHigherPriorityOvertakesWaitingPrefill(t *testing.T) {
	type prompt struct {
		tag      uint64
		prefill  time.Duration
		priority uint8
	}
	prompts := []prompt{{11, 100 * ms, 5}, {12, 200 * ms, 7}, {13, 40 * ms, 3}}
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		b := newEngineHarness()
		b.acquirePrompt(1, 500*ms, 9, 0)
		for _, i := range order {
			b.acquirePrompt(prompts[i].tag, prompts[i].prefill, prompts[i].priority, 0)
		}
		// In every order of arrival: 500 in progress, then 40, 100, 200.
		for _, x := range []struct {
			priority uint8
			want     uint32
		}{{2, 510}, {3, 550}, {4, 550}, {5, 650}, {6, 650}, {7, 850}, {9, 850}} {
			if b.acquirePrompt(99, 10*ms, x.priority, 1*ms) != Refusal || b.lastReply().TimeLeft != x.want {
				t.Errorf("order %v, priority %d: %+v, want %d", order, x.priority, b.lastReply(), x.want)
			}
		}
	}
}

func TestSlowdownIsLearnedFromPromptsThatFoundNoBacklog(t *testing.T) {
	b := newEngineHarness()
	release := func(tag uint64, firstToken time.Duration) {
		b.collectReplies(b.Step(b.now, message.Message{From: 2, Kind: Release,
			Body: Pack(Header{Tag: tag, PrefillTime: uint32(firstToken / time.Microsecond)}, "s/w")}))
	}
	k := b.coordinated["s/w"]
	for i := uint64(1); i < 40; i++ {
		b.acquirePrompt(i, 100*ms, 5, 0)
		b.acquirePrompt(100+i, 100*ms, 5, 0)
		b.advance(600 * ms)
		release(i, 200*ms+baseFirstTokenTime)
		release(100+i, 9*time.Second) // behind another prompt: doesn't show the worker's speed
	}
	if k.slowdown < 1.99 || k.slowdown > 2.01 {
		t.Fatalf("slowdown learned as %.2f, want 2", k.slowdown)
	}
	if b.acquirePrompt(1000, 100*ms, 5, 199*ms) != Refusal || b.acquirePrompt(1000, 100*ms, 5, 201*ms) != Grant {
		t.Fatal("the learned speed is not used")
	}
	b.advance(100 * ms)
	if x := b.prefillBacklog(); x < 99*ms || x > 101*ms {
		t.Fatal(x)
	}
	b.advance(time.Second)
	b.acquirePrompt(2000, 10*ms, 5, 0)
	release(2000, 9*time.Second) // too short to learn from
	for i := uint64(3000); i < 3100; i++ {
		b.advance(time.Second)
		b.acquirePrompt(i, 100*ms, 5, 0)
		release(i, time.Minute)
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
