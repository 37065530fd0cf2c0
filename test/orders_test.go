package test

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"papayacroft/lease"
	"papayacroft/provider"
)

// scriptFence is the fencing token of orders that a script sends directly, without a lease.
const scriptFence = 0

// engineOrder is one order that an engine stand-in has accepted.
type engineOrder struct {
	At    time.Time
	Fence int64
}

// cmdOrders checks that an engine got its orders from one lease holder at a time, and NUMBER of them or more:
// orders ENGINE LOG POOL NUMBER. Fencing tokens must not decrease, and a holder that is not the pool's first must
// have waited for the duration and the margin of a lease after its own first lease record, so that its predecessor's
// lease had expired by both clocks.
func cmdOrders(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 4 {
		ts.Fatalf("usage: orders ENGINE LOG POOL NUMBER")
	}
	res, err := http.Get("http://" + args[0] + "/orders")
	ts.Check(err)
	defer res.Body.Close()
	var orders []engineOrder
	ts.Check(json.NewDecoder(res.Body).Decode(&orders))
	bat, err := provider.NewHTTPLog("http://"+args[1]).Read(context.Background(), lease.Stream, 0, 0)
	ts.Check(err)
	counted := 0
	var last engineOrder
	for _, ord := range orders {
		if ord.Fence == scriptFence {
			continue
		}
		counted++
		if ord.Fence < last.Fence {
			ts.Fatalf("got an order with token %d %s after one with token %d; want none of an earlier holder", ord.Fence, ord.At.Sub(last.At), last.Fence)
		}
		firstRecord, first := firstRecordOfHolder(ts, bat.Records, args[2], ord.Fence)
		if wait := ord.At.Sub(firstRecord); !first && wait < lease.Duration+lease.Margin {
			ts.Fatalf("got an order with token %d %s after its holder's first lease record; want at least %s", ord.Fence, wait, lease.Duration+lease.Margin)
		}
		last = ord
	}
	want, err := strconv.Atoi(args[3])
	ts.Check(err)
	if counted < want {
		ts.Fatalf("got %d orders of lease holders; want %d or more", counted, want)
	}
}

// firstRecordOfHolder returns when the holder that a token belongs to wrote its first lease record to the log, and
// whether it is the pool's first holder.
func firstRecordOfHolder(ts *testscript.TestScript, records []provider.Record, pool string, token int64) (at time.Time, first bool) {
	holder, first := "", true
	for _, rec := range records {
		parsed, err := lease.ParseRecord(rec.Body)
		if err != nil || parsed.Pool != pool {
			continue
		}
		if parsed.Holder != holder {
			first = holder == ""
			holder, at = parsed.Holder, rec.At
		}
		if rec.Offset == token {
			return at, first
		}
	}
	ts.Fatalf("got an order with token %d; want the offset of a lease record", token)
	return at, false
}
