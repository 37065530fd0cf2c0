package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/blackboard"
	"papayacroft/document"
	"papayacroft/endpoint"
	"papayacroft/inventory"
	"papayacroft/position"
	"papayacroft/retry"
	"papayacroft/routing"
)

// noQuarantine is a Quarantine that suspects and refuses no request.
type noQuarantine struct{}

func (noQuarantine) Condemned(string) (time.Time, bool) { return time.Time{}, false }
func (noQuarantine) Suspect(string) bool                { return false }
func (noQuarantine) Occupied(string) []string           { return nil }
func (noQuarantine) Begin(string, string, string) bool  { return true }
func (noQuarantine) Closed() map[string]bool            { return nil }
func (noQuarantine) Attach(string, string, string)      {}
func (noQuarantine) Confirm(context.Context, string, int, func(context.Context) bool) bool {
	return true
}
func (noQuarantine) Complete(string)         {}
func (noQuarantine) Leave(string)            {}
func (noQuarantine) Crash(string, time.Time) {}

// fakeEngine streams tokens as fast as it can. If received is set, it sends a token only after the reader has
// confirmed the previous one on that channel.
type fakeEngine struct{ received chan struct{} }

func (eng *fakeEngine) serve(wri http.ResponseWriter, req *http.Request) {
	start := decodeStart(req)
	control := http.NewResponseController(wri)
	for i := range start.MaxTokens {
		_, _ = fmt.Fprintf(wri, "data: {\"generation\":%q,\"index\":%d,\"text\":\" token\"}\n\n", start.ID, i)
		if eng.received == nil {
			continue
		}
		_ = control.Flush()
		select {
		case <-eng.received:
		case <-req.Context().Done():
			return
		}
	}
	_, _ = fmt.Fprintf(wri, "event: done\ndata: {\"generation\":%q,\"tokens\":%d}\n\n", start.ID, start.MaxTokens)
}

// decodeStart decodes a start request; an invalid body gives a request for no tokens.
func decodeStart(req *http.Request) endpoint.StartRequest {
	var start endpoint.StartRequest
	_ = json.NewDecoder(req.Body).Decode(&start)
	return start
}

func newRelayServer(engine string, maxTokens int) *Server {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	srv := NewServer()
	srv.Board = fixedBoard{&blackboard.Snapshot{Index: inventory.NewIndex(&inventory.Configuration{
		Organisations: map[string]inventory.Organisation{"rimu": {Name: "rimu", Teams: []inventory.Team{
			{Name: "members", CredentialDigests: []string{inventory.CredentialDigest("secret")}},
		}}},
		Owners:    map[string]inventory.Owner{"office": {Name: "office", ApprovedTeams: []string{"rimu/members"}}},
		Models:    map[string]inventory.Model{"writer": {Name: "writer", MaxTokens: maxTokens}},
		Pools:     map[string]inventory.Pool{"llm": {Name: "llm", Kind: inventory.PoolKindEngine, Models: []string{"writer"}, Classes: []string{"writeUp"}}},
		Endpoints: map[string]inventory.Endpoint{"a": {Name: "a", Pool: "llm", Owner: "office", Address: engine}},
		Classes:   map[string]inventory.Class{"writeUp": {Name: "writeUp", Worth: 1, Deadline: document.Duration(time.Minute)}},
	})}}
	srv.Tracker, srv.Endpoints, srv.Logger = routing.NewTracker(), endpoint.NewClient(), logger
	srv.Signer, srv.Retries, srv.Quarantine = position.NewSigner([]byte("key")), retry.NewBudgets(), noQuarantine{}
	srv.BuildAdmission()
	srv.Tracker.Report(time.Now(), "a", endpoint.Load{At: time.Now(), CapacityTokens: 1 << 40})
	return srv
}

// relayCost is the cost of reading answers in one way, directly from the engine or through the server.
type relayCost struct {
	wall, processor, first time.Duration
	allocations            uint64
}

// readTokens reads answers of the given length and returns the cost for the whole process.
func readTokens(b *testing.B, client *http.Client, url, body string, requests, tokens int, received chan struct{}) relayCost {
	b.Helper()
	var before, after runtime.MemStats
	var cost relayCost
	runtime.ReadMemStats(&before)
	began, used := time.Now(), processorTime(b)
	for range requests {
		sent := time.Now()
		req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url, strings.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer secret")
		res, err := client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		got, scanner := 0, bufio.NewScanner(res.Body)
		for scanner.Scan() {
			if !strings.Contains(scanner.Text(), `"index":`) {
				continue
			}
			if got++; got == 1 {
				cost.first += time.Since(sent)
			}
			if received != nil {
				received <- struct{}{}
			}
		}
		_ = res.Body.Close()
		if got != tokens {
			b.Fatalf("got %d tokens, status %d; want %d", got, res.StatusCode, tokens)
		}
	}
	cost.wall, cost.processor = time.Since(began), processorTime(b)-used
	runtime.ReadMemStats(&after)
	cost.allocations = after.Mallocs - before.Mallocs
	return cost
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRelay compares tokens that a caller reads through the server with the same tokens read from the engine.
// Processor time is that of the whole process, so the difference between the two ways is the cost of the relay and of
// its second connection.
// The case burst buffers many tokens at once; single has one token in flight, as with a decoding engine; short reads
// many answers of one token.
func BenchmarkRelay(b *testing.B) {
	for _, tcs := range []struct {
		name             string
		requests, tokens int
		received         chan struct{}
	}{
		{"burst", 1, 20000, nil},
		{"single", 1, 5000, make(chan struct{})},
		{"short", 200, 1, nil},
	} {
		b.Run(tcs.name, func(b *testing.B) {
			engine := httptest.NewServer(http.HandlerFunc((&fakeEngine{received: tcs.received}).serve))
			defer engine.Close()
			web := httptest.NewServer(newRelayServer(engine.Listener.Addr().String(), tcs.tokens).Handler())
			defer web.Close()
			direct := fmt.Sprintf(`{"id":"00000000-0000-0000-0000-000000000000","model":"writer","prompt":"x","maxTokens":%d}`, tcs.tokens)
			relayed := fmt.Sprintf(`{"model":"writer","class":"writeUp","prompt":"x","maxTokens":%d,"stream":true}`, tcs.tokens)
			var directCost, relayedCost relayCost
			for b.Loop() {
				directCost.add(readTokens(b, engine.Client(), engine.URL+"/generations", direct, tcs.requests, tcs.tokens, tcs.received))
				relayedCost.add(readTokens(b, web.Client(), web.URL+"/v1/completions", relayed, tcs.requests, tcs.tokens, tcs.received))
			}
			report(b, directCost, relayedCost, float64(b.N*tcs.requests), float64(tcs.tokens))
		})
	}
}

func (cst *relayCost) add(other relayCost) {
	cst.wall += other.wall
	cst.processor += other.processor
	cst.first += other.first
	cst.allocations += other.allocations
}

func report(b *testing.B, directCost, relayedCost relayCost, requests, tokens float64) {
	all := requests * tokens
	b.ReportMetric(float64(relayedCost.wall)/all, "ns/token")
	b.ReportMetric(float64(relayedCost.processor)/all, "cpu-ns/token")
	b.ReportMetric(float64(relayedCost.processor-directCost.processor)/all, "relay-cpu-ns/token")
	b.ReportMetric(float64(relayedCost.allocations)/all, "allocs/token")
	b.ReportMetric(float64(relayedCost.wall)/float64(directCost.wall), "wall-ratio")
	b.ReportMetric(float64(relayedCost.processor)/float64(directCost.processor), "cpu-ratio")
	b.ReportMetric(float64(relayedCost.first)/requests, "ns/first-token")
	b.ReportMetric(float64(relayedCost.first)/float64(directCost.first), "first-token-ratio")
}
