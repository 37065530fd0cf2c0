package main

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"go.yaml.in/yaml/v3"
)

// A change that is no proof must be reported as such, and must not keep the others from being tried. Each case of
// testdata/prover is a small tree with changes; the file want has a pattern for the line of each change and, at the end, for the error.
func TestProver(t *testing.T) {
	files, err := filepath.Glob("testdata/prover/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d cases, error %v; want some", len(files), err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			t.Parallel()
			got, want := play(t, file)
			for _, pattern := range want {
				if !regexp.MustCompile("(?m)" + pattern).MatchString(got) {
					t.Errorf("got %q, want a line like %q", got, pattern)
				}
			}
			if count := len(strings.Split(strings.TrimSpace(got), "\n")); count != len(want) {
				t.Errorf("got %d lines %q, want %d", count, got, len(want))
			}
		})
	}
}

// play tries the changes of a case, and returns what is reported and the wanted patterns.
func play(t *testing.T, file string) (got string, want []string) {
	arc, err := txtar.ParseFile(file)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	var out bytes.Buffer
	prv := &prover{Root: dir, Jobs: 2, Timeout: 5 * time.Second, Out: &out}
	for _, fil := range arc.Files {
		if fil.Name == "want" {
			want = strings.Split(strings.TrimSpace(string(fil.Data)), "\n")
			continue
		}
		if err := write(filepath.Join(dir, fil.Name), fil.Data); err != nil {
			t.Fatal(err)
		}
		prv.Files = append(prv.Files, fil.Name)
	}
	changes, err := readChanges(filepath.Join(dir, "changes.yaml"))
	if err == nil {
		err = prv.run(changes)
	}
	if err != nil {
		return out.String() + "error: " + err.Error(), want
	}
	return out.String(), want
}

// A name that no change has must be an error that helps; it used to pass as if all were proved.
func TestChoose(t *testing.T) {
	data, err := os.ReadFile("testdata/choose.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Names, Want []string
		Error       string
	}
	if err := yaml.Unmarshal(data, &cases); err != nil || len(cases) == 0 {
		t.Fatalf("got %d cases, error %v; want some", len(cases), err)
	}
	changes := []change{{Name: "partsTried"}, {Name: "partsBlamed"}, {Name: "moves"}, {Name: "drain"}}
	for _, cse := range cases {
		chosen, err := choose(changes, cse.Names)
		var got []string
		for _, chg := range chosen {
			got = append(got, chg.Name)
		}
		text := ""
		if err != nil {
			text = err.Error()
		}
		if !slices.Equal(got, cse.Want) || text != cse.Error {
			t.Errorf("%v: got %v, error %q; want %v, error %q", cse.Names, got, text, cse.Want, cse.Error)
		}
	}
}

// Each change must fit the sources, so that make proof can try it.
func TestChangesApply(t *testing.T) {
	changes, err := readChanges("changes.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for _, chg := range changes {
		if err := chg.check(".."); err != nil {
			t.Errorf("%s: %v", chg.Name, err)
		}
	}
}

// Each script must be proved by a change or listed with the reason why not.
func TestScriptsAreProved(t *testing.T) {
	proved := provedScripts(t)
	data, err := os.ReadFile("unproved.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var unproved []struct{ Script, Reason string }
	if err := yaml.Unmarshal(data, &unproved); err != nil {
		t.Fatal(err)
	}
	for _, one := range unproved {
		if proved[one.Script] || one.Reason == "" {
			t.Errorf("unproved.yaml: got script %s with reason %q, want one that no change names, and a reason", one.Script, one.Reason)
		}
		proved[one.Script] = true
	}
	scripts, err := filepath.Glob("../gateway/testdata/*.txtar")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("got %d scripts, error %v; want some", len(scripts), err)
	}
	for _, file := range scripts {
		if name := strings.TrimSuffix(filepath.Base(file), ".txtar"); !proved[name] {
			t.Errorf("got no change and no reason for the script %s, want one", name)
		}
	}
}

// provedScripts returns the scripts of the gateway that changes name.
func provedScripts(t *testing.T) map[string]bool {
	changes, err := readChanges("changes.yaml")
	if err != nil {
		t.Fatal(err)
	}
	proved := map[string]bool{}
	for _, chg := range changes {
		for _, script := range chg.Scripts {
			if chg.Package == defaultPackage && chg.Test == defaultTest {
				proved[script] = true
			}
		}
	}
	return proved
}

// A page must name only changes that exist.
func TestPagesNameChanges(t *testing.T) {
	changes, err := readChanges("changes.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for _, page := range pages(t) {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, found := range onlyNames.FindAllSubmatch(text, -1) {
			if _, err := choose(changes, []string{string(found[1])}); err != nil {
				t.Errorf("%s: %v", page, err)
			}
		}
	}
}

var onlyNames = regexp.MustCompile(`--only (\w+)`)

// pages returns the pages that name mechanisms and their proofs.
func pages(t *testing.T) []string {
	all, err := filepath.Glob("../docs/incidents/*.md")
	if err != nil || len(all) == 0 {
		t.Fatalf("got %d pages, error %v; want some", len(all), err)
	}
	return append(all, "../docs/proof.md", "../KNOWN-RED.txt")
}
