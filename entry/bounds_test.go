package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/blackboard"
	"papayacroft/document"
	"papayacroft/inventory"
	"papayacroft/retry"
	"papayacroft/routing"
)

func testIndex() *inventory.Index {
	sum := sha256.Sum256([]byte("secret"))
	return inventory.NewIndex(&inventory.Configuration{
		Organisations: map[string]inventory.Organisation{"rimu": {Name: "rimu", Teams: []inventory.Team{
			{Name: "members", CredentialDigests: []string{hex.EncodeToString(sum[:])}},
		}}},
		Models: map[string]inventory.Model{"writer": {Name: "writer", MaxTokens: 100}},
		Pools: map[string]inventory.Pool{
			"llm": {Name: "llm", Kind: inventory.PoolKindEngine, Models: []string{"writer"}, Classes: []string{"writeUp"}},
			"desk": {Name: "desk", Kind: inventory.PoolKindService, Operations: []inventory.Operation{
				{Name: "castBallot", Method: http.MethodPost, Path: "/ballots", Class: "writeUp"},
			}},
		},
		Classes: map[string]inventory.Class{"writeUp": {Name: "writeUp", Deadline: document.Duration(time.Minute)}},
	})
}

// A malformed or oversized request must get a refusal body with the outcome notRun. Guards against a daemon that
// hangs, crashes or breaks the connection instead.
func TestRefusesBadRequests(t *testing.T) {
	srv := NewServer()
	srv.Board = fixedBoard{&blackboard.Snapshot{Index: testIndex()}}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	srv.Logger, srv.Now = logger, time.Now
	web := httptest.NewServer(srv.Handler())
	defer web.Close()
	valid := `{"model":"writer","class":"writeUp","prompt":"x"`
	for _, tcs := range []struct {
		name, credential, body, flood string
		code                          routing.Code
		status                        int
	}{
		{"malformed", "secret", "{", "", routing.CodeBadRequest, 400},
		{"two values", "secret", valid + "}{}", "", routing.CodeBadRequest, 400},
		{"unknown field", "secret", valid + `,"nosuch":1}`, "", routing.CodeBadRequest, 400},
		{"wrong type", "secret", `{"model":7}`, "", routing.CodeBadRequest, 400},
		{"nested", "secret", strings.Repeat("[", 20000), "", routing.CodeBadRequest, 400},
		{"oversized", "secret", valid + `,"prompt":"` + strings.Repeat("x", MaxBodyBytes) + `"}`, "", routing.CodeTooLarge, 413},
		{"unknown model", "secret", `{"model":"nosuch","class":"writeUp","prompt":"x"}`, "", routing.CodeUnknownModel, 404},
		{"unknown class", "secret", `{"model":"writer","class":"nosuch","prompt":"x"}`, "", routing.CodeBadRequest, 400},
		{"too many tokens", "secret", valid + `,"maxTokens":101}`, "", routing.CodeBadRequest, 400},
		{"no credential", "", valid + "}", "", routing.CodeUnauthenticated, 401},
		{"wrong credential", "wrong", valid + "}", "", routing.CodeUnauthenticated, 401},
		{"header flood", "secret", valid + "}", strings.Repeat("x", MaxHeaderBytes), routing.CodeTooLarge, 413},
	} {
		t.Run(tcs.name, func(t *testing.T) {
			status, got := post(t, web.URL, tcs.credential, tcs.body, tcs.flood)
			if got.Outcome != OutcomeNotRun || got.Code != tcs.code || status != tcs.status {
				t.Errorf("got %d %+v; want %d notRun %s", status, got, tcs.status, tcs.code)
			}
		})
	}
	if got := srv.InFlight(); got != 0 {
		t.Errorf("got %d requests in flight after all were refused", got)
	}
}

func post(t *testing.T, address, credential, body, flood string) (int, Refusal) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, address+"/v1/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if credential != "" {
		req.Header.Set("Authorization", "Bearer "+credential)
	}
	if flood != "" {
		req.Header.Set("X-Flood", flood)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	var got Refusal
	if err := json.NewDecoder(res.Body).Decode(&got); err != nil {
		t.Fatalf("got no refusal body: %v", err)
	}
	return res.StatusCode, got
}

// A draining daemon must close the connections of the callers that it refuses or redirects. Otherwise a caller
// follows the redirect of a handed-over answer on its keep-alive connection, back to the same draining daemon.
func TestDrainingClosesConnections(t *testing.T) {
	srv := NewServer()
	srv.Board = fixedBoard{&blackboard.Snapshot{Index: testIndex(), DrainingSince: time.Now().Add(-time.Hour)}}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	srv.Logger = logger
	for path, want := range map[string]int{"/v1/completions": http.StatusServiceUnavailable, "/v1/completions/a.b.-1": http.StatusSeeOther} {
		rec := httptest.NewRecorder()
		req := httptest.NewRequest(http.MethodGet, path, nil)
		req.Header.Set(resumeHeader, "a.b.1")
		srv.Handler().ServeHTTP(rec, req)
		var got Refusal
		if err := json.Unmarshal(rec.Body.Bytes(), &got); err != nil || got.Outcome != OutcomeUnknown {
			t.Errorf("%s: got %+v, %v; want unknown", path, got, err)
		}
		location := rec.Header().Get("Location")
		if rec.Code != want || rec.Header().Get("Connection") != "close" || (location == path) != (want == http.StatusSeeOther) {
			t.Errorf("%s: got %d, location %q, %v; want %d and the connection closed", path, rec.Code, location, rec.Header(), want)
		}
	}
}

// Guards against a caller that occupies a connection by never finishing its request body.
func TestRefusesEndlessBody(t *testing.T) {
	srv := NewServer()
	srv.Board = fixedBoard{&blackboard.Snapshot{Index: testIndex()}}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	// The server's clock is behind, so that the read deadline has already passed and the test does not wait for it.
	srv.Logger, srv.Now = logger, func() time.Time { return time.Now().Add(-2 * bodyTimeout) }
	web := httptest.NewServer(srv.Handler())
	defer web.Close()
	// The ballot has an idempotency key, and an earlier attempt with that key may have run.
	for path, want := range map[string]Outcome{"/v1/completions": OutcomeNotRun, "/v1/services/desk/ballots": OutcomeUnknown} {
		if got := postEndless(t, web.URL+path); got.Code != routing.CodeBadRequest || got.Outcome != want {
			t.Errorf("%s: got %+v; want %s badRequest", path, got, want)
		}
	}
}

// postEndless sends a body that does not end, and returns the refusal or an empty one if there is none.
func postEndless(t *testing.T, address string) (ref Refusal) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	reader, writer := io.Pipe()
	defer writer.Close()
	go func() { _, _ = io.WriteString(writer, "{") }()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address, reader)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer secret")
	req.Header.Set(idempotencyHeader, "any key")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return ref
	}
	defer res.Body.Close()
	_ = json.NewDecoder(res.Body).Decode(&ref)
	return ref
}

// Guards against the outcome notRun after an engine may have begun the request: the caller would send a request again
// that has already run.
func TestNoNotRunAfterEngineMayHaveBegun(t *testing.T) {
	for code := range statusCodes {
		gen := &generation{}
		if got := gen.refusal(notRun(code, "x")); got.Outcome != OutcomeNotRun {
			t.Errorf("%s: got %s before an engine began; want notRun", code, got.Outcome)
		}
		gen.begun = true
		if got := gen.refusal(notRun(code, "x")); got.Outcome != OutcomeUnknown || got.Code != code {
			t.Errorf("%s: got %s %s after an engine may have begun; want unknown", code, got.Outcome, got.Code)
		}
	}
}

// Guards against retries of service calls that exceed the team's budget or the class's deadline.
func TestServiceRetriesSpendBudget(t *testing.T) {
	srv, now := NewServer(), time.Now()
	srv.Now, srv.Retries = func() time.Time { return now }, retry.NewBudgets()
	cal := &call{snapshot: &blackboard.Snapshot{Index: testIndex()}}
	svc := &serviceCall{pool: "desk", operation: inventory.Operation{Class: "writeUp"}}
	tries := 0
	for range 20 {
		_, cancel, ret := srv.beginRetries(t.Context(), cal, svc)
		if ret.next(t.Context()) {
			tries++
		}
		cancel()
	}
	if tries < 10 || tries > 12 {
		t.Errorf("got %d retries for 20 calls at one time; want the burst of 10 and 10%%", tries)
	}
	ctx, cancel, _ := srv.beginRetries(t.Context(), cal, svc)
	defer cancel()
	deadline, ok := ctx.Deadline()
	if left := time.Until(deadline); !ok || left > time.Minute {
		t.Errorf("got %s left; want the class's deadline", left)
	}
}

// FuzzParseCompletionRequest guards against bodies that crash the daemon or pass validation with values out of
// bounds.
func FuzzParseCompletionRequest(f *testing.F) {
	for _, seed := range []string{
		`{"model":"writer","class":"writeUp","prompt":"x"}`, `{"model":"writer","class":"writeUp","prompt":"x","maxTokens":-1}`,
		`{"model":"writer","class":"writeUp","prompt":"\ud800","stream":true,"restart":true}`, `{"model":"nosuch"}`,
		`{} {}`, `null`, `[[[[`, `{"maxTokens":1e99}`, "\x00",
	} {
		f.Add([]byte(seed))
	}
	idx := testIndex()
	f.Fuzz(func(t *testing.T, body []byte) {
		req, ref := ParseCompletionRequest(bytes.NewReader(body), idx)
		if ref != nil {
			if ref.Outcome != OutcomeNotRun || statusCodes[ref.Code] == 0 {
				t.Fatalf("got refusal %+v; want notRun with a status", ref)
			}
			return
		}
		if req.Prompt == "" || req.MaxTokens < 1 || req.MaxTokens > 100 || req.digest() == "" {
			t.Fatalf("got %+v accepted", req)
		}
	})
}
