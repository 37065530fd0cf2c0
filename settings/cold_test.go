package settings

import (
	"os"
	"strings"
	"testing"
)

// The bound of cold endpoints must have its default where the platform states none: the text is then empty, or the placeholder
// of the template remains.
func TestColdBound(t *testing.T) {
	template, err := os.ReadFile("../deploy/gateway.yaml")
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(template), "\ncold:\n")
	if !found {
		t.Fatal("got no section cold in deploy/gateway.yaml, want one")
	}
	for _, cse := range []struct {
		name, overage, slack string
		wantOverage          float64
		wantSlack            float64
		problems             int
	}{
		{"stated", "2", "7.5", 2, 7.5, 0},
		{"empty", "", "", defaultColdOverage, defaultColdSlack, 0},
		{"notReplaced", "{{bounds.coldOverage}}", "{{bounds.coldSlack}}", defaultColdOverage, defaultColdSlack, 0},
		{"one", "1.25", "", 1.25, defaultColdSlack, 0},
		{"wrong", "-1", "NaN", 0, 0, 2},
		{"noNumber", "much", "5", 0, 0, 1},
	} {
		t.Run(cse.name, func(t *testing.T) {
			text := strings.NewReplacer("{{bounds.coldOverage}}", cse.overage, "{{bounds.coldSlack}}", cse.slack).Replace(section)
			set, lst := ParseGateway("gateway.yaml", []byte(`name: front-1
failureDomain: a
callerAddress: 10.0.0.1:1
readyAddress: 10.0.0.1:2
peerAddress: 10.0.0.1:3
storeAddress: 10.0.0.2:5
cold:
`+text))
			if got, want := len(lst), cse.problems; got != want {
				t.Fatalf("got %d findings (%v), want %d", got, lst.Err(), want)
			}
			if overage, slack := set.Cold.Bound(); cse.problems == 0 && (overage != cse.wantOverage || slack != cse.wantSlack) {
				t.Errorf("got overage %g and slack %g, want %g and %g", overage, slack, cse.wantOverage, cse.wantSlack)
			}
		})
	}
}
