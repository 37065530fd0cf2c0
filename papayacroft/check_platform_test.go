package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"papayacroft/finding"
)

const platformConfiguration = `{"version": 7,
 "routes": [{"name": "r", "host": "h", "pathPrefix": "/", "kind": "idempotent", "service": "s", "timeoutMs": 600, "maxAttempts": 2}],
 "services": [{"name": "s"}],
 "tenants": [{"name": "o", "apiKeys": ["sk-secret-1"]}]}
`

// Guards against exit statuses that scripts can't rely on, output that is not JSON, and keys in the output.
func TestCheckPlatform(t *testing.T) {
	dir := t.TempDir()
	write := func(name, content string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	sound := write("sound.json", platformConfiguration)
	slow := write("slow.json", strings.Replace(platformConfiguration, "600", "900", 1))
	later := write("later.json", strings.NewReplacer("600", "900", `"version": 7`, `"version": 8`, "secret-1", "secret-2").Replace(platformConfiguration))
	broken := write("broken.json", strings.Replace(platformConfiguration, `"sk-secret-1"`, `sk-secret-1`, 1))
	missing := filepath.Join(dir, "missing.json")
	for _, tst := range []struct {
		name, input, want string
		args              []string
		code              int
	}{
		{"no findings", "", "no findings", []string{"--platform", sound}, 0},
		{"standard input", platformConfiguration, "no findings", []string{"--platform", "-"}, 0},
		{"unchanged", platformConfiguration, "no findings", []string{"--platform", sound, "--in-force", "-"}, 0},
		{"rejected", "", "broken.json:4:40: error: not valid JSON", []string{"--platform", broken}, exitPlatformFindings},
		{"cut off", `{"version": 7,`, "-:1:14: error: not valid JSON", []string{"--platform", "-"}, exitPlatformFindings},
		{"difference", "", `later.json:2:110: change: routes[r].timeoutMs: route "r": timeout changed from 600ms to 900ms`, []string{"--platform", later, "--in-force", sound}, exitPlatformFindings},
		{"withdrawn key", "", `change: tenants[o].apiKeys: organisation "o": 1 key withdrawn`, []string{"--platform", later, "--in-force", sound}, exitPlatformFindings},
		{"same version", "", "daemons ignore it", []string{"--platform", slow, "--in-force", sound}, exitPlatformFindings},
		{"few endpoints", "", "known endpoints", []string{"--platform", sound, "--endpoints", "s=1"}, exitPlatformFindings},
		{"enough endpoints", "", "no findings", []string{"--platform", sound, "--endpoints", "s=2"}, 0},
		{"missing file", "", "", []string{"--platform", missing}, exitPlatformUnread},
		{"missing file in force", "", "", []string{"--platform", sound, "--in-force", missing}, exitPlatformUnread},
		{"broken file in force", "", "", []string{"--platform", sound, "--in-force", broken}, exitPlatformUnread},
		{"input twice", "", "", []string{"--platform", "-", "--in-force", "-"}, exitPlatformUnread},
		{"only in force", "", "", []string{"--in-force", sound}, exitPlatformUnread},
		{"inventory too", "", "", []string{"--platform", sound, "--inventory", "x.yaml"}, exitPlatformUnread},
	} {
		t.Run(tst.name, func(t *testing.T) {
			out, code, err := runCheck(tst.input, tst.args...)
			if code != tst.code || !strings.Contains(out, tst.want) {
				t.Errorf("got exit code %d, error %v and output %q, want code %d and %q", code, err, out, tst.code, tst.want)
			}
			if all := out + errorText(err); strings.Contains(all, "sk-secret") {
				t.Errorf("got output %q, want no key in it", all)
			}
		})
	}
	for name, want := range map[string]int{sound: 0, later: 3} {
		out, _, _ := runCheck("", "--platform", name, "--in-force", sound, "--json")
		var rep struct{ Findings finding.List }
		if err := json.Unmarshal([]byte(out), &rep); err != nil || rep.Findings == nil || len(rep.Findings) != want {
			t.Errorf("got output %s, error %v, want a list of %d findings", out, err, want)
		}
		for _, fnd := range rep.Findings {
			if fnd.File != name || fnd.Line == 0 || fnd.Path == "" || fnd.Severity != finding.SeverityChange {
				t.Errorf("got finding %+v, want its file, place and severity", fnd)
			}
		}
	}
}

func runCheck(input string, args ...string) (out string, code int, err error) {
	var buf bytes.Buffer
	cmd := newCommand()
	cmd.SetArgs(append([]string{"check"}, args...))
	cmd.SetIn(strings.NewReader(input))
	cmd.SetOut(&buf)
	err = cmd.Execute()
	var ext *exitError
	switch {
	case errors.As(err, &ext):
		code = ext.code
	case err != nil:
		code = exitFailure
	}
	return buf.String(), code, err
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
