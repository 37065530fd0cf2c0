package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// The example settings must be ones that the daemon accepts.
func TestExampleSettingsHaveNoFindings(t *testing.T) {
	files, err := filepath.Glob("../examples/*/entry-*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d example files, error %v; want some", len(files), err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, lst := Parse(file, data); len(lst) > 0 {
			t.Errorf("got findings %v; want none", lst)
		}
	}
}

// A log retention that leaves no time to append a new snapshot must be a finding, and an omitted one must get its
// default.
func TestLogRetentionIsChecked(t *testing.T) {
	data, err := os.ReadFile("../examples/kowhai/entry-1.yaml")
	if err != nil {
		t.Fatal(err)
	}
	set, _ := Parse("entry.yaml", data)
	if got, want := time.Duration(set.Platform.LogRetention), 24*time.Hour; got != want {
		t.Errorf("got default retention %s; want %s", got, want)
	}
	short := strings.Replace(string(data), "platform:\n", "platform:\n  logRetention: 1s\n", 1)
	_, lst := Parse("entry.yaml", []byte(short))
	if len(lst) != 1 || lst[0].Path != "platform.logRetention" || lst[0].Line == 0 {
		t.Errorf("got findings %v; want one at platform.logRetention", lst)
	}
}
