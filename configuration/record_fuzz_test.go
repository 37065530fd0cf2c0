package configuration

import (
	"testing"
	"time"

	"papayacroft/provider"
)

// FuzzParseRecord guards against log records that crash a daemon, and against records that are accepted
// but can't be encoded and parsed again.
func FuzzParseRecord(f *testing.F) {
	for _, seed := range []string{
		`{"publish":{"publishId":"p","basedOn":0,"changes":[]}}`,
		`{"publish":{"publishId":"p","basedOn":0,"changes":[{"kind":"model","name":"m"}]}}`,
		`{"snapshot":{"version":1,"offset":3,"content":"H4sIAAAAAAAA/6quBQQAAP//Q7+mowIAAAA=","outcomes":[]}}`,
		`{"publish":{"publishId":""}}`, `{"publish":null}`, `{}`, `[]`, `{"snapshot":{"version":-1}}`, "\x00",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		rec, err := ParseRecord(body)
		if err != nil {
			return
		}
		data, err := rec.Serialize()
		if err != nil {
			t.Fatalf("got a record that can't be written again: %v", err)
		}
		if _, err := ParseRecord(data); err != nil {
			t.Fatalf("got %v for a record that was read and written", err)
		}
		_, _ = NewState().Apply(provider.Record{Offset: 1, At: time.Unix(1, 0), Body: body})
	})
}
