package claim

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"
	"pgregory.net/rapid"

	"papayacroft/provider"
)

// testNow is the log's time of all test records.
var testNow = time.Unix(1000, 0)

func testID(num string) string { return fmt.Sprintf("00000000-0000-4000-8000-%012s", num) }

func testKey(name string) string { return fmt.Sprintf("%032x", name) }

// testRecord reads "id key body replaces" claims that are separated by slashes.
func testRecord(t testing.TB, offset int64, text string) provider.Record {
	var rec Record
	for one := range strings.SplitSeq(text, "/") {
		fields := strings.Fields(one)
		clm := Claim{ID: testID(fields[0]), KeyDigest: testKey(fields[1]), BodyDigest: fmt.Sprintf("%016x", fields[2]), Claimant: "c"}
		if len(fields) == 4 {
			clm.Replaces = testID(fields[3])
		}
		rec.Claims = append(rec.Claims, clm)
	}
	body, err := rec.Serialize()
	if err != nil {
		t.Fatal(err)
	}
	return provider.Record{Offset: offset, At: testNow, Body: body}
}

// Guards against a table that lets two claims of one key win, so that two daemons send the request.
func TestTable(t *testing.T) {
	data, err := os.ReadFile("testdata/table.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name    string
		Records []string
		Holders map[string]string
	}
	if err := yaml.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, tst := range cases {
		t.Run(tst.Name, func(t *testing.T) {
			tab := NewTable()
			for i, text := range tst.Records {
				rec := provider.Record{Offset: int64(i + 1), At: testNow, Body: []byte(text)}
				if text != "not a record" {
					rec = testRecord(t, int64(i+1), text)
				}
				tab.Apply(testNow, rec)
				tab.Apply(testNow, rec)
			}
			tab.Apply(testNow, provider.Record{Offset: 1, At: testNow})
			if want := int64(len(tst.Records) + 1); tab.Next != want {
				t.Errorf("got next offset %d after an old record; want %d", tab.Next, want)
			}
			for key, want := range tst.Holders {
				if held, _ := tab.Holder(testKey(key)); held.ID != testID(want) {
					t.Errorf("got holder %q of %s; want %q", held.ID, key, testID(want))
				}
			}
		})
	}
}

// holderHistory records the holders that a key has had.
type holderHistory struct {
	former  map[string]bool
	current string
}

func (his *holderHistory) note(rt *rapid.T, held Claim) {
	if his.former[held.ID] {
		rt.Fatalf("key returned to claim %s", held.ID)
	}
	if his.current != held.ID && his.current != "" {
		his.former[his.current] = true
	}
	his.current = held.ID
}

// drawClaim draws a claim in the format of testRecord. Claims with the same id are copies: they have the same key and
// replace the same claim.
func drawClaim(rt *rapid.T) (key, text string) {
	num := rapid.IntRange(1, 12).Draw(rt, "claim")
	key = fmt.Sprint(num % 2)
	text = fmt.Sprintf("%d %s x", num, key)
	if num > 2 && num%3 > 0 {
		text += fmt.Sprintf(" %d", num-2)
	}
	return key, text
}

// Guards against a replaced claim that becomes the holder of its key again when a copy of it is read, and against
// tables with different holders because one read the records in pieces or more than once.
func TestReplacedClaimNeverHoldsAgain(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		whole, pieces := NewTable(), NewTable()
		histories := map[string]*holderHistory{"0": {former: map[string]bool{}}, "1": {former: map[string]bool{}}}
		var records []provider.Record
		for offset := int64(1); offset <= int64(rapid.IntRange(1, 30).Draw(rt, "records")); offset++ {
			key, text := drawClaim(rt)
			rec := testRecord(t, offset, text)
			records = append(records, rec)
			whole.Apply(testNow, rec)
			held, _ := whole.Holder(testKey(key))
			histories[key].note(rt, held)
			if rapid.Bool().Draw(rt, "read") {
				from := min(rapid.Int64Range(0, offset).Draw(rt, "from"), max(pieces.Next-1, 0))
				for _, again := range records[from:] {
					pieces.Apply(testNow, again)
				}
			}
		}
		for _, rec := range records {
			pieces.Apply(testNow, rec)
		}
		for key, his := range histories {
			if got, _ := pieces.Holder(testKey(key)); got.ID != his.current {
				rt.Fatalf("got holder %s after reading in pieces; want %s", got.ID, his.current)
			}
		}
	})
}

// Guards against a table that grows without bound because expired claims are kept or applied, and against a claim
// that is removed while its key may still be used.
func TestTablePrune(t *testing.T) {
	tab := NewTable()
	tab.Apply(testNow, testRecord(t, 1, "1 a x"))
	tab.Prune(testNow.Add(KeyLifetime + maxKeyLead))
	if tab.Len() != 1 {
		t.Fatalf("got %d claims within the key lifetime; want 1", tab.Len())
	}
	tab.Prune(testNow.Add(tableLifetime + time.Second))
	if tab.Len() != 0 {
		t.Fatalf("got %d claims beyond the lifetime; want 0", tab.Len())
	}
	tab.Apply(testNow.Add(tableLifetime+time.Second), testRecord(t, 2, "1 a x"))
	if tab.Len() != 0 || tab.Next != 3 {
		t.Fatalf("got %d old claims and next offset %d after a read; want none and 3", tab.Len(), tab.Next)
	}
}

// BenchmarkTable reports the memory of one held claim.
func BenchmarkTable(b *testing.B) {
	const claims = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		tab := NewTable()
		for i := range claims {
			tab.claim(Claim{ID: testID(fmt.Sprint(i)), KeyDigest: fmt.Sprintf("%032x", i), BodyDigest: "0000000000000000", Claimant: "c"}, testNow)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/claims, "bytes/claim")
		runtime.KeepAlive(tab)
	}
}
