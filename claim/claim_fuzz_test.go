package claim

import (
	"bytes"
	"testing"
)

// FuzzParseRecord guards against claim records that make a daemon panic, and against records that change when they
// are parsed and serialized again.
func FuzzParseRecord(f *testing.F) {
	for _, seed := range []string{
		`{"claims":[{"id":"4d1f4f80-7ad5-4c2f-9b1f-6d5f5f6d1d10","key":"00112233445566778899aabbccddeeff","body":"0011223344556677","claimant":"c","address":"127.0.0.1:1"}]}`,
		`{"claims":[]}`, `{"claims":[{"id":"","key":"k","claimant":"c"}]}`, `{"extra":1}`, `null`, `{}`, "\x00",
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
		again, err := ParseRecord(data)
		if err != nil {
			t.Fatalf("got error %v after writing and reading; want none", err)
		}
		if second, err := again.Serialize(); err != nil || !bytes.Equal(second, data) {
			t.Fatalf("got %s, %v after writing twice; want %s", second, err, data)
		}
	})
}
