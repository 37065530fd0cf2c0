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

// scriptFence marks the orders that a script sends itself.
const scriptFence = 0

// engineOrder is one order that an engine stand-in has taken.
type engineOrder struct {
	At    time.Time
	Fence int64
}

// cmdOrders checks that lease holders ordered an engine one after the other, and that they sent a number of orders or more:
// orders ENGINE LOG POOL NUMBER. Tokens must not shrink, and a holder that is not the pool's first must have
// waited for its predecessor's lease and both margins after its own lease record.
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
		tenure, first := tenureOf(ts, bat.Records, args[2], ord.Fence)
		if wait := ord.At.Sub(tenure); !first && wait < lease.Duration+lease.Margin {
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

// tenureOf returns when the holder of a token first put a record on the log, and whether it is the pool's first holder.
func tenureOf(ts *testscript.TestScript, records []provider.Record, pool string, token int64) (at time.Time, first bool) {
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
