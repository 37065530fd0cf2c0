package inventory

import (
	"fmt"
	"os"
	"slices"
	"testing"
)

func source(t testing.TB, file string) Source {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return Source{File: file, Data: data}
}

// Guards against a Diff whose changes, applied to the first configuration, don't give the second one.
func TestDiffAndApplyAgree(t *testing.T) {
	examples := map[string]*Configuration{"empty": {}}
	for _, name := range []string{"kowhai", "hooghly"} {
		cfg, lst := Parse(source(t, "../examples/"+name+"/inventory.yaml"), source(t, "../examples/"+name+"/rules.yaml"))
		if len(lst) > 0 {
			t.Fatalf("got findings %v; want none", lst)
		}
		examples[name] = cfg
	}
	for fromName, from := range examples {
		for toName, to := range examples {
			changes, err := Diff(from, to)
			if err != nil {
				t.Fatal(err)
			}
			got, err := from.Apply(changes)
			if err != nil {
				t.Fatal(err)
			}
			if toName != "empty" && got.Digest() != to.Digest() {
				t.Errorf("%s to %s: got digest %s; want %s", fromName, toName, got.Digest(), to.Digest())
			}
		}
	}
}

// Guards against panics on arbitrary files, and against findings without file, line and column.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"kowhai", "hooghly"} {
		f.Add(source(f, "../examples/"+name+"/inventory.yaml").Data, source(f, "../examples/"+name+"/rules.yaml").Data)
	}
	f.Add([]byte("organisations: [{name: a, teams: []}]"), []byte("classes: []"))
	f.Add([]byte("&a [*a]"), []byte("{}"))
	f.Add([]byte(""), []byte("classes: [{name: a, outranks: [a], worth: .nan, deadline: 1s}]"))
	f.Fuzz(func(t *testing.T, inv, rul []byte) {
		cfg, lst := Parse(Source{File: "inventory.yaml", Data: inv}, Source{File: "rules.yaml", Data: rul})
		for _, fnd := range lst {
			if fnd.File == "" || fnd.Line < 1 || fnd.Column < 1 {
				t.Errorf("got finding %v; want a place", fnd)
			}
		}
		if len(lst) == 0 {
			NewIndex(cfg)
		}
	})
}

// Guards against an exponential cost of computing ranks: when the cost doubled with each class,
// a publish of 40 classes that outrank each other blocked every daemon.
func TestRankOfManyOrderedClasses(t *testing.T) {
	cfg := &Configuration{Classes: map[string]Class{}}
	var lower []string
	for i := range 40 {
		name := fmt.Sprintf("class-%d", i)
		cfg.Classes[name] = Class{Name: name, Outranks: slices.Clone(lower)}
		lower = append(lower, name)
	}
	idx := NewIndex(cfg)
	if got, want := idx.Rank("class-39"), 39; got != want {
		t.Errorf("got rank %d; want %d", got, want)
	}
}
