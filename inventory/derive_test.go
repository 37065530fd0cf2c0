package inventory

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// exampleIndex returns the index of a small valid configuration in which each kind of reference occurs.
func exampleIndex() *Index {
	cfg := &Configuration{}
	cfg.initialize()
	for i, name := range []string{"a", "b"} {
		cfg.Organisations[name] = Organisation{Name: name, Teams: []Team{{Name: "a", CredentialDigests: []string{CredentialDigest(fmt.Sprint(i))}}}}
		cfg.Owners[name] = Owner{Name: name, ApprovedTeams: []string{name + "/a"}}
		cfg.Models[name] = Model{Name: name, Version: "v1", MaxTokens: 1}
		cfg.Classes[name] = Class{Name: name, Worth: 1, Deadline: 1}
		cfg.Endpoints[name] = Endpoint{Name: name, Pool: "a", Owner: name, FailureDomain: "x", Address: fmt.Sprintf("10.0.0.%d:1", i)}
	}
	cfg.Owners["c"] = Owner{Name: "c", ApprovedTeams: []string{"a/a"}}
	cfg.Pools["a"] = Pool{Name: "a", Kind: PoolKindEngine, Models: []string{"a"}, Classes: []string{"a"}}
	cfg.Pools["b"] = Pool{Name: "b", Kind: PoolKindService, Operations: []Operation{{Name: "a", Method: "GET", Path: "/a", Class: "b"}}}
	return NewIndex(cfg)
}

func drawName(t *rapid.T, label string) string {
	return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, label)
}

func drawNames(t *rapid.T, label string) []string {
	return rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 2, rapid.ID[string]).Draw(t, label)
}

func drawTeams(t *rapid.T) []Team {
	var teams []Team
	for _, name := range drawNames(t, "teams") {
		digests := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 2).Draw(t, "digests")
		tem := Team{Name: name}
		for _, dig := range digests {
			tem.CredentialDigests = append(tem.CredentialDigests, CredentialDigest(fmt.Sprint(dig)))
		}
		teams = append(teams, tem)
	}
	return teams
}

func drawPool(t *rapid.T, name string) Pool {
	if rapid.Bool().Draw(t, "engine") {
		return Pool{Name: name, Kind: PoolKindEngine, Models: drawNames(t, "models"), Classes: drawNames(t, "classes")}
	}
	return Pool{Name: name, Kind: PoolKindService, Operations: []Operation{{Name: "a", Method: "GET", Path: "/a", Class: drawName(t, "class")}}}
}

// drawObject returns an object that may have an invalid name, refer to a missing object or duplicate a unique value.
func drawObject(t *rapid.T, knd Kind, name string) any {
	if rapid.IntRange(0, 19).Draw(t, "misnamed") == 0 {
		name = rapid.SampledFrom([]string{"", "a", "B"}).Draw(t, "otherName")
	}
	switch knd {
	case KindOrganisation:
		return Organisation{Name: name, Teams: drawTeams(t)}
	case KindOwner:
		refs := rapid.SliceOfN(rapid.SampledFrom([]string{"a/a", "a/b", "b/a", "b/b", "c/a", "c"}), 0, 2).Draw(t, "approvedTeams")
		return Owner{Name: name, ApprovedTeams: refs}
	case KindModel:
		return Model{Name: name, Version: "v1", MaxTokens: rapid.IntRange(0, 9).Draw(t, "maxTokens")}
	case KindPool:
		return drawPool(t, name)
	case KindEndpoint:
		address := fmt.Sprintf("10.0.0.%d:1", rapid.IntRange(0, 4).Draw(t, "address"))
		return Endpoint{Name: name, Pool: drawName(t, "pool"), Owner: drawName(t, "owner"), FailureDomain: "x", Address: address}
	default:
		return Class{Name: name, Worth: 1, Deadline: 1, Outranks: drawNames(t, "outranks")}
	}
}

func drawChange(t *rapid.T) Change {
	kinds := []Kind{KindOrganisation, KindOwner, KindModel, KindPool, KindEndpoint, KindClass}
	chg := Change{Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Name: drawName(t, "name")}
	if rapid.IntRange(0, 3).Draw(t, "remove") > 0 {
		chg.Value, _ = json.Marshal(drawObject(t, chg.Kind, chg.Name))
	}
	return chg
}

// deepCopy returns a copy that shares no memory with the original, so that a modification in place is detected.
func deepCopy(t *rapid.T, cfg *Configuration) *Configuration {
	data, err := json.Marshal(cfg)
	if err != nil {
		t.Fatal(err)
	}
	fresh := &Configuration{}
	if err := json.Unmarshal(data, fresh); err != nil {
		t.Fatal(err)
	}
	return fresh
}

// applyAndCompare applies changes incrementally and compares the findings with those of Validate on the whole
// configuration, and the index with one built from scratch. It returns the index that is valid afterwards and
// whether the changes were accepted.
func applyAndCompare(t *rapid.T, idx *Index, changes []Change) (*Index, bool) {
	before := deepCopy(t, idx.Configuration)
	want, err := deepCopy(t, before).Apply(changes)
	if err != nil {
		t.Fatal(err)
	}
	want = deepCopy(t, want)
	findings := want.Validate()
	chk := check{old: idx, next: want, changed: namesByKind(changes)}
	if got, want := chk.valid(), len(findings) == 0; got != want {
		t.Fatalf("got valid %t from the changes; the whole has findings %v", got, findings)
	}
	next, lst, err := idx.Apply(changes)
	if err != nil || fmt.Sprint(lst) != fmt.Sprint(findings) {
		t.Fatalf("got findings %v, error %v; want %v", lst, err, findings)
	}
	if rebuilt := NewIndex(before); !reflect.DeepEqual(idx, rebuilt) {
		t.Fatalf("got a modified old index %+v; want %+v", idx, rebuilt)
	}
	if len(findings) > 0 {
		return idx, false
	}
	if !reflect.DeepEqual(deepCopy(t, next.Configuration), want) {
		t.Fatalf("got configuration %+v; want %+v", next.Configuration, want)
	}
	if rebuilt := NewIndex(next.Configuration); !reflect.DeepEqual(next, rebuilt) {
		t.Fatalf("got derived index %+v; want %+v", next, rebuilt)
	}
	return next, true
}

// Guards against three faults of applying changes incrementally: findings that differ from those of validating the
// whole configuration, so that a daemon that adopts a snapshot disagrees with one that reads the log; an index that
// differs from one built from scratch; and modifications of the old index, which requests in flight still use.
func TestIncrementalApplyMatchesFullValidation(t *testing.T) {
	verdicts := map[bool]int{}
	rapid.Check(t, func(t *rapid.T) {
		idx := exampleIndex()
		for range rapid.IntRange(10, 40).Draw(t, "publishes") {
			changes := rapid.SliceOfN(rapid.Custom(drawChange), 1, 4).Draw(t, "changes")
			next, accepted := applyAndCompare(t, idx, changes)
			verdicts[accepted]++
			idx = next
		}
	})
	if verdicts[true] == 0 || verdicts[false] == 0 {
		t.Errorf("got accepted %d, rejected %d; want both", verdicts[true], verdicts[false])
	}
	t.Logf("accepted %d, rejected %d", verdicts[true], verdicts[false])
}
