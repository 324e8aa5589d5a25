package capacity

import (
	"testing"
	"time"

	"seamshunt/internal/cluster/message"
)

// engineBench is a keeper of one engine.
func engineBench() *bench { return newBench(Worker{Capacity: 100, MaxWaiting: 200}) }

// prompt asks for one that is read in a time, at an urgency, with its first words due in soon (0: whenever).
func (b *bench) prompt(tag uint64, read time.Duration, urge uint8, soon time.Duration) message.Kind {
	h := Header{Tag: tag, TimeLeft: 15000, PrefillTime: uint32(read / time.Microsecond), Priority: urge, MaxFirstTokenTime: uint32(soon / ms)}
	b.out(b.Step(b.now, message.Message{From: 2, Kind: Acquire, Body: Pack(h, "s/w")}))
	return b.kind[len(b.kind)-1]
}

func (b *bench) told() Header { return b.sent[len(b.sent)-1] }

func (b *bench) unread() time.Duration {
	k := b.keeps["s/w"]
	k.read(b.now)
	return k.backlog(len(k.line))
}

func TestWhatIsBegunIsReadFirstWhateverTheUrgency(t *testing.T) {
	b := engineBench()
	if b.prompt(1, 1000*ms, 8, 800*ms) != Refusal || b.told().TimeLeft != 1000 { // it can't be in time anywhere: the asker decides
		t.Fatalf("%+v", b.told())
	}
	if b.prompt(1, 1000*ms, 8, 0) != Grant {
		t.Fatal("a prompt without a bound was not granted")
	}
	b.pass(300 * ms)
	if b.prompt(2, 20*ms, 1, 700*ms) != Refusal || b.told().Reason != ReasonBusy || b.told().TimeLeft != 720 {
		t.Fatalf("an urgent prompt does not wait for what is begun: %+v", b.told())
	}
	if b.prompt(3, 20*ms, 1, 720*ms) != Grant {
		t.Fatal("in time, and not granted")
	}
	if b.unread() != 720*ms {
		t.Fatal(b.unread())
	}
	b.pass(400 * ms)
	if b.prompt(4, 20*ms, 1, 339*ms) != Refusal || b.prompt(4, 20*ms, 1, 340*ms) != Grant {
		t.Fatal("300 ms of what is begun, 20 of an equal and 20 of its own make 340")
	}
	b.pass(time.Second)
	if b.unread() != 0 {
		t.Fatal(b.unread())
	}
}

func TestUrgentOnesPassWhatWaits(t *testing.T) {
	type ask struct {
		tag  uint64
		read time.Duration
		urge uint8
	}
	asks := []ask{{11, 100 * ms, 5}, {12, 200 * ms, 7}, {13, 40 * ms, 3}}
	for _, o := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		b := engineBench()
		b.prompt(1, 500*ms, 9, 0)
		for _, i := range o {
			b.prompt(asks[i].tag, asks[i].read, asks[i].urge, 0)
		}
		// In every order of coming: 500 begun, then 40, 100, 200.
		for _, x := range []struct {
			urge uint8
			want uint32
		}{{2, 510}, {3, 550}, {4, 550}, {5, 650}, {6, 650}, {7, 850}, {9, 850}} {
			if b.prompt(99, 10*ms, x.urge, 1*ms) != Refusal || b.told().TimeLeft != x.want {
				t.Errorf("order %v, urgency %d: %+v, want %d", o, x.urge, b.told(), x.want)
			}
		}
	}
}

func TestAWorkersSpeedIsLearnedFromPromptsThatFoundItFree(t *testing.T) {
	b := engineBench()
	back := func(tag uint64, words time.Duration) {
		b.out(b.Step(b.now, message.Message{From: 2, Kind: Release, Body: Pack(Header{Tag: tag, PrefillTime: uint32(words / time.Microsecond)}, "s/w")}))
	}
	k := b.keeps["s/w"]
	for i := uint64(1); i < 40; i++ {
		b.prompt(i, 100*ms, 5, 0)
		b.prompt(100+i, 100*ms, 5, 0)
		b.pass(600 * ms)
		back(i, 200*ms+usual)
		back(100+i, 9*time.Second) // behind another: tells nothing
	}
	if k.slow < 1.99 || k.slow > 2.01 {
		t.Fatalf("twice as slow, learned as %.2f", k.slow)
	}
	if b.prompt(1000, 100*ms, 5, 199*ms) != Refusal || b.prompt(1000, 100*ms, 5, 201*ms) != Grant {
		t.Fatal("its speed is not reckoned with")
	}
	b.pass(100 * ms)
	if x := b.unread(); x < 99*ms || x > 101*ms {
		t.Fatal(x)
	}
	b.pass(time.Second)
	b.prompt(2000, 10*ms, 5, 0)
	back(2000, 9*time.Second) // too brief to tell
	for i := uint64(3000); i < 3100; i++ {
		b.pass(time.Second)
		b.prompt(i, 100*ms, 5, 0)
		back(i, time.Minute)
	}
	if k.slow > slower {
		t.Fatal(k.slow)
	}
}

func TestWhatReadsNothingIsNeverPassedBy(t *testing.T) {
	b := engineBench()
	b.prompt(1, 5*time.Second, 9, 0)
	if b.prompt(2, 0, 5, 1*ms) != Grant || b.unread() != 5*time.Second {
		t.Fatal(b.told(), b.unread())
	}
}
