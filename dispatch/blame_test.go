package dispatch

import (
	"os"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"
)

type blameStep struct {
	At time.Duration
	// Crash is the endpoint that crashed with a request with these parts; Begun is true if it had just begun to answer.
	Crash string
	Parts []string
	Begun bool
	// Started is true if it had just sent its first events.
	Started bool
	// Sound are the parts of a request that has its first event.
	Sound []string
	// Ask are the parts of a request that is about to be run, and Want is the part because of which it is refused.
	Ask  []string
	Want string
}

// TestBlame plays the crashes of testdata/blame.yaml.
func TestBlame(t *testing.T) {
	data, err := os.ReadFile("testdata/blame.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name, Guards string
		Steps        []blameStep
	}
	if err := yaml.Unmarshal(data, &cases); err != nil || len(cases) == 0 {
		t.Fatalf("got %d cases, error %v; want some", len(cases), err)
	}
	for _, cse := range cases {
		t.Run(cse.Name, func(t *testing.T) {
			t.Log(cse.Guards)
			bla := NewBlame()
			for number, stp := range cse.Steps {
				now := testNow.Add(stp.At)
				bla.Forget(now)
				switch {
				case stp.Crash != "":
					bla.Crashed(now, now, PartCrash{Incarnation: Incarnation{Endpoint: stp.Crash}, Digest: uint64(number), Parts: stp.Parts, Begun: stp.Begun, Started: stp.Started})
				case stp.Sound != nil:
					bla.Sound(now, now, stp.Sound)
				case stp.Ask != nil:
					if got, _ := bla.Condemned(now, stp.Ask); got != stp.Want {
						t.Fatalf("step %d: got refused because of %q, want %q", number+1, got, stp.Want)
					}
				}
			}
		})
	}
}

// Daemons must tell each other what clears a part, once, and again only after a later crash.
func TestSoundPartsAreNews(t *testing.T) {
	bla := NewBlame()
	bla.Sound(testNow, testNow, []string{"system"})
	if got := bla.News(testNow); len(got) != 0 {
		t.Errorf("got news %v before any crash, want none", got)
	}
	for i, want := range []int{1, 0} {
		at := testNow.Add(time.Second)
		bla.Crashed(at, at, PartCrash{Incarnation: Incarnation{Endpoint: "e1"}, Parts: []string{"system", "bad"}, Begun: true})
		if got := bla.News(at.Add(time.Duration(i))); len(got) != want {
			t.Errorf("got news %v the %d. time, want %d parts", got, i+1, want)
		}
	}
	later := testNow.Add(2 * time.Second)
	bla.Sound(later, later, []string{"system"})
	if got := bla.News(later); len(got) != 1 {
		t.Errorf("got news %v after an event that followed the crash, want 1 part", got)
	}
}

// The memory for crashes and parts must stay bounded, whatever callers send.
func TestBlameIsBounded(t *testing.T) {
	bla := NewBlame()
	for i := range 3 * maxSoundParts {
		now := testNow.Add(time.Duration(i) * time.Millisecond)
		id := time.Duration(i).String()
		bla.Sound(now, now, []string{id})
		if i%16 == 0 {
			bla.Crashed(now, now, PartCrash{Incarnation: Incarnation{Endpoint: id}, Parts: []string{id, "x" + id}, Begun: true})
		}
	}
	if got, want := len(bla.sound)+len(bla.older), 2*maxSoundParts; got > want {
		t.Errorf("got %d sound parts, want %d at most", got, want)
	}
	if got, want := len(bla.crashes), maxBlameCrashes; got > want {
		t.Errorf("got %d crashes, want %d at most", got, want)
	}
	bla.Forget(testNow.Add(time.Hour))
	if got, want := len(bla.crashes)+len(bla.condemned)+len(bla.shared)+len(bla.triedAt), 0; got != want {
		t.Errorf("got %d entries of crashes an hour later, want %d", got, want)
	}
}

// A daemon that starts later must learn from a bounded message why a part is condemned, whatever crashed since.
func TestCondemningCrashesComeFirst(t *testing.T) {
	bla := NewBlame()
	for i := range 20 {
		now := testNow.Add(time.Duration(i) * 2 * time.Second)
		parts := []string{time.Duration(i).String()}
		if i < condemningCrashes {
			parts = []string{"bad"}
		}
		bla.Crashed(now, now, PartCrash{Incarnation: Incarnation{Endpoint: time.Duration(i).String()}, Digest: uint64(i), Parts: parts, Begun: true})
		bla.Crashed(now, now, PartCrash{Incarnation: Incarnation{Endpoint: time.Duration(i).String()}, Digest: uint64(100 + i), Parts: []string{"waiting"}})
	}
	other := NewBlame()
	now, count := testNow.Add(time.Minute), 0
	for at, rep := range bla.Crashes() {
		if count++; count <= condemningCrashes {
			other.Crashed(now, at, rep)
		}
	}
	if got, _ := other.Condemned(now, []string{"bad"}); got != "bad" {
		t.Errorf("got refused because of %q, want bad", got)
	}
}
