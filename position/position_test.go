package position

import (
	"strings"
	"testing"
	"time"

	"papayacroft/inventory"
)

var now = time.Unix(1_700_000_000, 0).UTC()

func signed(t testing.TB, key string) string {
	text, err := NewSigner([]byte(key)).SerializeStream(Stream{
		Generation: "gen", Endpoint: "engine-1", Model: "writer", Class: "writeUp", Digest: "d",
		Team: inventory.ParseTeamRef("rimu/members"), Deadline: now.Add(time.Hour),
	})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Parse must reject malformed and expired positions, those signed with another key and those with an index out of range.
func TestParseRejectsInvalidPositions(t *testing.T) {
	sgn := NewSigner([]byte("key"))
	good := signed(t, "key")
	pos, err := sgn.Parse(now, Serialize(good, -1))
	if err != nil || pos.Next != 0 || pos.Generation != "gen" || pos.Digest != "d" {
		t.Fatalf("got %+v, %v; want the signed stream at token 0", pos, err)
	}
	for name, text := range map[string]string{
		"another key": Serialize(signed(t, "other"), 3), "negative": Serialize(good, -2), "huge": good + ".9999999999",
		"no index": good, "no number": good + ".x", "long": good + "." + strings.Repeat("1", maxBytes), "empty": "",
	} {
		if pos, err := sgn.Parse(now, text); err == nil {
			t.Errorf("%s: got %+v; want an error", name, pos)
		}
	}
	if _, err := sgn.Parse(now.Add(2*time.Hour), Serialize(good, 3)); err == nil {
		t.Error("got an expired position accepted")
	}
}

// FuzzParse checks that forged positions are rejected: a text may parse only if it contains the signed stream, whatever
// its index.
func FuzzParse(f *testing.F) {
	good := signed(f, "key")
	f.Add(Serialize(good, 7))
	f.Add(Serialize(signed(f, "other"), 7))
	f.Add("e30.e30.0")
	f.Add("..")
	f.Add(good + ".-1")
	sgn := NewSigner([]byte("key"))
	f.Fuzz(func(t *testing.T, text string) {
		pos, err := sgn.Parse(now, text)
		if err != nil {
			return
		}
		payload, _, _ := strings.Cut(good, ".")
		if got, _, _ := strings.Cut(text, "."); got != payload || pos.Next < 0 {
			t.Fatalf("got %+v from %q; want only the signed payload to parse", pos, text)
		}
	})
}
