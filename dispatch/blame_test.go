package dispatch

import (
	"cmp"
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
	// Started is true if it had sent events, Age is the time since its answer began.
	Started bool
	Age     time.Duration
	// Of is the name of the run, if it is known, Born the start time of the endpoint, and Trial true for a trial.
	Of    string
	Born  int64
	Trial bool
	// Sound are the parts of a request whose engine has gone on long enough.
	Sound []string
	// Run is the name of a run that begins at the endpoint On, or of one that has an event (Heard), ends whole (Whole) or broken (Cut).
	// With Peer, another daemon tells of the run: of its start at this time, and that it has lasted for so long.
	Run, On, Heard, Whole, Cut string
	Peer                       time.Duration
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
			runs := map[string]*Exposure{}
			for number, stp := range cse.Steps {
				now := testNow.Add(stp.At)
				bla.Changes(now)
				if stp.Ask == nil {
					stp.play(bla, runs, now, uint64(number))
				} else if got, _ := bla.Condemned(now, stp.Ask); got != stp.Want {
					t.Fatalf("step %d: got refused because of %q, want %q", number+1, got, stp.Want)
				}
			}
		})
	}
}

func (stp *blameStep) play(bla *Blame, runs map[string]*Exposure, now time.Time, digest uint64) {
	on := Incarnation{Endpoint: cmp.Or(stp.Crash, stp.On), StartedAt: stp.Born}
	switch {
	case stp.Crash != "":
		if run := runs[stp.Of]; run != nil {
			digest = run.Digest
		}
		bla.Crashed(now, now, PartCrash{Incarnation: on, Digest: digest, Parts: stp.Parts, Begun: stp.Begun, Started: stp.Started, Age: stp.Age, Trial: stp.Trial})
	case stp.Peer != 0:
		bla.Survived(now, []Exposure{{Incarnation: on, Digest: digest, Parts: stp.Parts, BeganAt: now.Add(-stp.Peer), HeardAt: now}})
	case stp.Run != "":
		runs[stp.Run] = bla.Begin(now, on, digest, stp.Parts)
	case stp.Heard != "":
		runs[stp.Heard].HeardAt = now
	case stp.Whole != "":
		bla.End(now, runs[stp.Whole], true)
	case stp.Cut != "":
		bla.End(now, runs[stp.Cut], false)
	case stp.Sound != nil:
		bla.Sound(now, stp.Sound)
	}
}

// Daemons must tell each other what clears a part, once, and again only after a later crash.
func TestRefutingRunsAreNews(t *testing.T) {
	bla := NewBlame()
	begin := func(at time.Time) {
		exp := bla.Begin(at, Incarnation{Endpoint: "sound"}, uint64(at.UnixNano()), []string{"system"})
		bla.End(at.Add(time.Millisecond), exp, true)
	}
	crash := func(at time.Time, endpoint string) {
		bla.Crashed(at, at, PartCrash{Incarnation: Incarnation{Endpoint: endpoint}, Parts: []string{"system", "bad"}, Begun: true})
	}
	at := testNow.Add
	refuting := func(now time.Time, onlyNews bool) (known, runs int) {
		for _, run := range bla.Refuting(now, onlyNews) {
			if run.Endpoint == "" {
				known++
			} else {
				runs++
			}
		}
		return known, runs
	}
	begin(at(0))
	if known, runs := refuting(at(time.Second), true); known+runs != 0 {
		t.Errorf("got news of %d parts and %d runs before any crash, want none", known, runs)
	}
	crash(at(time.Second), "e1")
	for i, want := range []int{1, 0} {
		if known, runs := refuting(at(time.Second), true); known != want || runs != 0 {
			t.Errorf("got news of %d parts and %d runs the %d. time, want %d parts", known, runs, i+1, want)
		}
	}
	crash(at(2*time.Second), "e2")
	begin(at(3 * time.Second))
	begin(at(3 * time.Second).Add(time.Millisecond))
	for i, want := range []int{1, 0} {
		if known, runs := refuting(at(4*time.Second).Add(time.Duration(i)), true); known != 0 || runs != want {
			t.Errorf("got news of %d parts and %d runs the %d. time, want %d run", known, runs, i+1, want)
		}
	}
	crash(at(5*time.Second), "e3")
	begin(at(6 * time.Second))
	if known, runs := refuting(at(7*time.Second), true); known != 0 || runs != 1 {
		t.Errorf("got news of %d parts and %d runs after the next crash, want 1 run", known, runs)
	}
	if known, runs := refuting(at(7*time.Second), false); known != 1 || runs != 1 {
		t.Errorf("got %d parts and %d runs for a daemon that has just started, want 1 of each", known, runs)
	}
}

// The memory for crashes and parts must stay bounded, whatever callers send.
func TestBlameIsBounded(t *testing.T) {
	bla := NewBlame()
	for i := range 3 * maxSoundParts {
		now := testNow.Add(time.Duration(i) * time.Millisecond)
		id := time.Duration(i).String()
		bla.Sound(now, []string{id})
		exp := bla.Begin(now, Incarnation{Endpoint: "sound"}, uint64(i), []string{id})
		bla.End(now, exp, i%2 == 0)
		bla.Survived(now, []Exposure{{Incarnation: Incarnation{Endpoint: "sound"}, Digest: uint64(i) << 32, Parts: []string{id}, BeganAt: now, HeardAt: now}})
		if i%16 == 0 {
			bla.Crashed(now, now, PartCrash{Incarnation: Incarnation{Endpoint: id}, Parts: []string{id, "x" + id}, Begun: true})
		}
	}
	if got, want := len(bla.sound)+len(bla.older), 2*maxSoundParts; got > want {
		t.Errorf("got %d sound parts, want %d at most", got, want)
	}
	if got, want := len(bla.exposures), maxExposures; got > want {
		t.Errorf("got %d runs, want %d at most", got, want)
	}
	if got, want := len(bla.crashes), maxBlameCrashes; got > want {
		t.Errorf("got %d crashes, want %d at most", got, want)
	}
	bla.Changes(testNow.Add(time.Hour))
	if got, want := len(bla.crashes)+len(bla.exposures)+len(bla.condemned)+len(bla.refuting)+len(bla.triedAt), 0; got != want {
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
	for at, rep := range bla.Crashes(now) {
		if count++; count <= condemningCrashes {
			other.Crashed(now, at, rep)
		}
	}
	if got, _ := other.Condemned(now, []string{"bad"}); got != "bad" {
		t.Errorf("got refused because of %q, want bad", got)
	}
}
