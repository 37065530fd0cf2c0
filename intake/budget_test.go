package intake

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"
)

// budgetCase is a sequence of steps on one budget.
type budgetCase struct {
	Name, Guards string
	// Reserve is that of peers, which are all whose names begin with "peer".
	Limit, Reserve int64
	Steps          []struct {
		At time.Duration
		// Take is the number of bytes that Who takes, Want the verdict, and Drop who is dropped for them.
		Who  string
		Take int64
		Want string
		Drop string
		// Touch, Keep and Leave are those whose bytes arrive, that are whole, and that return everything.
		Touch, Keep, Leave []string
		// Note is true if the time is noted before.
		Note bool
	}
}

// Guards against dropping an ordinary small request, one that was read whole, or a fast one; against a budget that is
// exceeded; and against clients that stop within large bodies and keep the memory.
func TestBudget(t *testing.T) {
	file, err := os.ReadFile("testdata/budget.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []budgetCase
	dec := yaml.NewDecoder(bytes.NewReader(file))
	dec.KnownFields(true)
	if err := dec.Decode(&cases); err != nil || len(cases) == 0 {
		t.Fatalf("got %d cases, error %v; want some", len(cases), err)
	}
	for _, cse := range cases {
		t.Run(cse.Name, func(t *testing.T) {
			t.Log(cse.Guards)
			cse.play(t)
		})
	}
}

func (cse *budgetCase) play(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	bud := NewBudget(cse.Limit)
	bud.PeerReserve = cse.Reserve
	holders, names := map[string]*Holder{}, map[*Holder]string{}
	holder := func(name string) *Holder {
		if holders[name] == nil {
			holders[name] = &Holder{Drop: func() {}, Peer: strings.HasPrefix(name, "peer")}
			names[holders[name]] = name
		}
		return holders[name]
	}
	for number, stp := range cse.Steps {
		now := start.Add(stp.At)
		if stp.Note {
			bud.Note(now)
		}
		for _, name := range stp.Touch {
			holder(name).Touch(now)
		}
		for _, name := range stp.Keep {
			bud.Keep(holder(name))
		}
		for _, name := range stp.Leave {
			bud.Reset(holder(name))
		}
		if stp.Who != "" {
			verdict, victim := bud.Take(now, holder(stp.Who), stp.Take)
			if got := map[Verdict]string{Granted: "granted", Wait: "wait", Refused: "refused"}[verdict]; got != stp.Want || names[victim] != stp.Drop {
				t.Errorf("step %d: got %s and drop %q, want %s and drop %q", number+1, got, names[victim], stp.Want, stp.Drop)
			}
		}
		if bud.Used() > cse.Limit {
			t.Errorf("step %d: got %d bytes in use, want %d at most", number+1, bud.Used(), cse.Limit)
		}
	}
}
