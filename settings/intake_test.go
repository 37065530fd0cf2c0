package settings

import (
	"fmt"
	"os"
	"testing"

	"go.yaml.in/yaml/v3"
)

// Guards against wrong values under intake that are accepted, so that the daemon starts with limits that clients can
// exhaust it with, and against right ones that are not. Both programs check the same values.
func TestIntake(t *testing.T) {
	file, err := os.ReadFile("testdata/intake.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct{ Intake, Want string }
	if err := yaml.Unmarshal(file, &cases); err != nil || len(cases) == 0 {
		t.Fatalf("got %d cases, error %v; want some", len(cases), err)
	}
	entry, err := os.ReadFile("../examples/kowhai/entry-1.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for _, cse := range cases {
		gateway, found := ParseGateway("gateway.yaml", fmt.Appendf(nil, `name: front-1
failureDomain: a
callerAddress: 10.0.0.1:1
readyAddress: 10.0.0.1:2
peerAddress: 10.0.0.1:3
storeAddress: 10.0.0.2:5
memoryMB: 112
intake: %s
`, cse.Intake))
		set, others := Parse("entry.yaml", fmt.Appendf(nil, "%s\nmemoryMB: 112\nintake: %s\n", entry, cse.Intake))
		found = append(found, gateway.Intake.CheckDescriptors(1000)...)
		others = append(others, set.Intake.CheckDescriptors(1000)...)
		got := ""
		if len(found) > 0 {
			got = found[0].Path
		}
		if got != cse.Want || len(found) != len(others) {
			t.Errorf("%s: got findings %v and for an entry daemon %v, want one at %q", cse.Intake, found, others, cse.Want)
		}
	}
}
