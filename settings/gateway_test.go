package settings

import (
	"strings"
	"testing"
)

// ParseGateway must report all findings of a file at once, with their lines, instead of only the first.
func TestParseGatewayReportsEveryFinding(t *testing.T) {
	_, lst := ParseGateway("gateway.yaml", []byte(`name: front-1
failureDomain: a
callerAddress: nowhere
readyAddress: 127.0.0.1:1
peerAddress: 127.0.0.1:2
storeAddress: store:1
drainNotice: 0s
memoryMB: -1
retries: {ratio: -1, extra: 0, window: 0s}
log: {level: loud, format: json}
`))
	text := lst.Err().Error()
	for _, want := range []string{
		"gateway.yaml:3:", "callerAddress", "storeAddress", "drainNotice", "memoryMB", "retries", "retries.window", "log.level",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("got findings %s, want one with %q", text, want)
		}
	}
}

// The settings that deploy/gateway.yaml renders must be accepted, and omitted keys must get their defaults.
func TestParseGateway(t *testing.T) {
	set, lst := ParseGateway("gateway.yaml", []byte(`name: front-1
failureDomain: a
callerAddress: 10.0.0.1:1
readyAddress: 10.0.0.1:2
peerAddress: 10.0.0.1:3
metricsAddress: 10.0.0.1:4
storeAddress: 10.0.0.2:5
drainNotice: 8s
memoryMB: 134
intake: {bodyStall: 5s, readerStall: 5s}
queue: {enabled: true}
retries: {ratio: 0.2, extra: 54, window: 10s}
contracts: "burst,pressure"
prefix: {enabled: true}
`))
	if err := lst.Err(); err != nil {
		t.Fatal(err)
	}
	if !set.Queue.Enabled || set.Contracts != "burst,pressure" {
		t.Errorf("got queue %t and contracts %q, want true and those of the file", set.Queue.Enabled, set.Contracts)
	}
	if got, want := set.Log.Format, "json"; got != want {
		t.Errorf("got log format %q, want %q", got, want)
	}
	if got, want := set.Contracts, "burst,pressure"; got != want || !set.Prefix.Enabled {
		t.Errorf("got contracts %q, prefixes enabled %t; want %q, true", got, set.Prefix.Enabled, want)
	}
}
