package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"go.yaml.in/yaml/v3"
)

// example holds the operators' files of one deployment.
type example struct {
	name  string
	files map[string]string
}

func readExample(t *testing.T, name string) example {
	t.Helper()
	exa := example{name: name, files: map[string]string{}}
	for _, file := range []string{"inventory.yaml", "rules.yaml", "entry-1.yaml"} {
		data, err := os.ReadFile(filepath.Join("examples", name, file))
		if err != nil {
			t.Fatal(err)
		}
		exa.files[file] = string(data)
	}
	return exa
}

// check runs the command on the example with one file's content replaced.
func (exa example) check(t *testing.T, dir, file, content string) (string, error) {
	t.Helper()
	args := []string{"check"}
	for name, flag := range map[string]string{"inventory.yaml": "--inventory", "rules.yaml": "--rules", "entry-1.yaml": "--settings"} {
		text := exa.files[name]
		if name == file {
			text = content
		}
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		args = append(args, flag, path)
	}
	var out bytes.Buffer
	cmd := newCommand()
	cmd.SetArgs(args)
	cmd.SetOut(&out)
	err := cmd.Execute()
	return out.String(), err
}

// corruptions returns variants of a YAML text by their description. In each variant one key is renamed, or one value
// is replaced by an invalid text or by null.
func corruptions(t *testing.T, text string) map[string]string {
	t.Helper()
	var root yaml.Node
	if err := yaml.Unmarshal([]byte(text), &root); err != nil {
		t.Fatal(err)
	}
	damaged := map[string]string{}
	var visit func(nd *yaml.Node, path string)
	visit = func(nd *yaml.Node, path string) {
		switch nd.Kind {
		case yaml.DocumentNode, yaml.SequenceNode:
			for _, child := range nd.Content {
				visit(child, path+"/")
			}
		case yaml.MappingNode:
			for i := 0; i+1 < len(nd.Content); i += 2 {
				key := nd.Content[i]
				damaged[path+key.Value+" renamed"] = replaceAt(text, key, "x"+key.Value)
				visit(nd.Content[i+1], path+key.Value+".")
			}
		case yaml.ScalarNode:
			damaged[path+" corrupted at "+strings.Repeat("|", nd.Line)] = replaceAt(text, nd, "'%corrupt%'")
			damaged[path+" emptied at "+strings.Repeat("|", nd.Line)] = replaceAt(text, nd, "null")
		}
	}
	visit(&root, "")
	return damaged
}

func replaceAt(text string, nd *yaml.Node, replacement string) string {
	lines := strings.Split(text, "\n")
	line := lines[nd.Line-1]
	lines[nd.Line-1] = line[:nd.Column-1] + replacement + line[nd.Column-1+len(nd.Value):]
	return strings.Join(lines, "\n")
}

var placePattern = regexp.MustCompile(`^.+\.yaml:\d+:\d+: `)

// Guards against a corrupted field that passes the check, or that is reported without file, line and column.
func TestCheckFindsEveryCorruptedField(t *testing.T) {
	t.Chdir("..")
	for _, name := range []string{"kowhai", "hooghly"} {
		exa := readExample(t, name)
		dir := t.TempDir()
		if out, err := exa.check(t, dir, "", ""); err != nil {
			t.Fatalf("%s: got error %v with %s; want none", name, err, out)
		}
		for file, text := range exa.files {
			for damage, content := range corruptions(t, text) {
				out, err := exa.check(t, dir, file, content)
				wantFindings(t, name+" "+file+" "+damage, out, err)
			}
		}
	}
}

// wantFindings expects the exit code for findings, and file, line and column at the start of each line of output.
func wantFindings(t *testing.T, damage, out string, err error) {
	t.Helper()
	var ext *exitError
	if !errors.As(err, &ext) || ext.code != exitFindings {
		t.Errorf("%s: got error %v; want findings", damage, err)
	}
	for line := range strings.Lines(out) {
		if !placePattern.MatchString(line) {
			t.Errorf("%s: got finding %q; want its place", damage, line)
		}
	}
}

// Guards against findings without a location or a clear cause, and against panics on malformed files.
func TestCheckReportsPlaceAndCause(t *testing.T) {
	t.Chdir("..")
	exa := readExample(t, "kowhai")
	tests := []struct {
		name, file, old, replacement, want string
	}{
		{"empty file", "rules.yaml", exa.files["rules.yaml"], "", "rules.yaml:1:1: file is empty"},
		{"second document", "rules.yaml", "    worth: 1\n    deadline: 10m\n", "    worth: 1\n    deadline: 10m\n---\nclasses: []\n", "only one YAML document"},
		{"unknown key", "rules.yaml", "worth: 20", "value: 20", "unknown key"},
		{"cycle", "rules.yaml", "    worth: 1\n", "    worth: 1\n    outranks: [ballot]\n", "outranks itself"},
		{"missing unit", "rules.yaml", "deadline: 60s", "deadline: 60", "a duration with its unit"},
		{"not a number", "rules.yaml", "worth: 20", "worth: .nan", "more than 0"},
		{"dangling team", "inventory.yaml", "      - rimu-society/secretaries", "      - rimu-society/ushers", `approved team "rimu-society/ushers" does not exist`},
		{"no owner", "inventory.yaml", "    owner: festival-office\n", "", `key "owner" is missing`},
		{"duplicate key", "inventory.yaml", "    kind: engine\n", "    kind: engine\n    kind: engine\n", "key is given twice"},
		{"alias", "inventory.yaml", "kind: engine", "kind: *engine", "unknown anchor"},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			content := strings.Replace(exa.files[tst.file], tst.old, tst.replacement, 1)
			out, err := exa.check(t, t.TempDir(), tst.file, content)
			if err == nil {
				t.Fatalf("got no error; want findings")
			}
			if !strings.Contains(out, tst.want) {
				t.Errorf("got %q; want %q in it", out, tst.want)
			}
		})
	}
}
