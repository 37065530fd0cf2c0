package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"papayacroft/blackboard"
	"papayacroft/claim"
	"papayacroft/document"
	"papayacroft/endpoint"
	"papayacroft/inventory"
	"papayacroft/provider"
	"papayacroft/routing"
	"papayacroft/standin"
)

// newBallotServer returns a server with one service endpoint and a log stand-in.
func newBallotServer(t *testing.T, service http.HandlerFunc) *Server {
	desk, log := httptest.NewServer(service), httptest.NewServer(standin.NewLog(400).Handler())
	t.Cleanup(desk.Close)
	t.Cleanup(log.Close)
	cfg := &inventory.Configuration{
		Organisations: map[string]inventory.Organisation{"rimu": {Name: "rimu", Teams: []inventory.Team{
			{Name: "members", CredentialDigests: []string{inventory.CredentialDigest("secret")}},
		}}},
		Owners: map[string]inventory.Owner{"office": {Name: "office", ApprovedTeams: []string{"rimu/members"}}},
		Pools: map[string]inventory.Pool{"desk": {Name: "desk", Kind: inventory.PoolKindService, Operations: []inventory.Operation{
			{Name: "castBallot", Method: http.MethodPost, Path: "/ballots", Class: "ballot"},
		}}},
		Endpoints: map[string]inventory.Endpoint{"desk-1": {Name: "desk-1", Pool: "desk", Owner: "office", Address: desk.Listener.Addr().String()}},
		Classes:   map[string]inventory.Class{"ballot": {Name: "ballot", Deadline: document.Duration(5 * time.Second)}},
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	srv := NewServer()
	srv.Board = fixedBoard{&blackboard.Snapshot{Index: inventory.NewIndex(cfg)}}
	srv.Tracker, srv.Endpoints, srv.Logger = routing.NewTracker(), endpoint.NewClient(), logger
	srv.Claims = claim.NewAcquirer(provider.NewHTTPLog(log.URL), "one", "one")
	srv.BuildAdmission()
	return srv
}

// deadlineRecorder is a response recorder that accepts read deadlines, as the writer of a real connection does.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

func (deadlineRecorder) SetReadDeadline(time.Time) error { return nil }

func castBallot(ctx context.Context, srv *Server, key string) *httptest.ResponseRecorder {
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/services/desk/ballots", strings.NewReader("vote"))
	req.Header.Set("Authorization", "Bearer secret")
	req.Header.Set(idempotencyHeader, key)
	rec := httptest.NewRecorder()
	srv.Handler().ServeHTTP(deadlineRecorder{rec}, req)
	return rec
}

// Guards against a call that is sent although its key expired while the daemon waited for the claim or was frozen.
func TestKeyAgeIsCheckedBeforeTheSend(t *testing.T) {
	var runs atomic.Int32
	srv := newBallotServer(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	key := uuid.Must(uuid.NewV7())
	checks := 0
	srv.Now = func() time.Time {
		// The server reads the clock at the request's arrival and for the first check of the key's age; the key
		// expires after that.
		if checks++; checks > 2 {
			return time.Now().Add(claim.KeyLifetime + time.Minute)
		}
		return time.Now()
	}
	rec := castBallot(t.Context(), srv, key.String())
	// The claims of an expired key may have been deleted from the log, so an earlier attempt may have run.
	expired := strings.Contains(rec.Body.String(), "keyExpired") && strings.Contains(rec.Body.String(), `"outcome":"unknown"`)
	if rec.Code != http.StatusConflict || !expired || runs.Load() != 0 {
		t.Fatalf("got status %d, %d runs: %s; want unknown, keyExpired and no run", rec.Code, runs.Load(), rec.Body)
	}
}

// Guards against a ballot that is lost, or runs twice, when its caller disconnects before the call is sent and then
// repeats it.
func TestCallerLeavesBeforeTheSend(t *testing.T) {
	var runs atomic.Int32
	srv := newBallotServer(t, func(wri http.ResponseWriter, _ *http.Request) { runs.Add(1); _, _ = io.WriteString(wri, "cast") })
	key := uuid.Must(uuid.NewV7()).String()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if rec := castBallot(ctx, srv, key); !strings.Contains(rec.Body.String(), "this attempt was not sent") || runs.Load() != 0 {
		t.Fatalf("got %d runs: %s; want an attempt that was not sent and no run", runs.Load(), rec.Body)
	}
	for range 2 {
		if rec := castBallot(t.Context(), srv, key); rec.Body.String() != "cast" || runs.Load() != 1 {
			t.Fatalf("got %d runs: %s; want one run and its answer", runs.Load(), rec.Body)
		}
	}
}

// Guards against a second run, or the outcome notRun, after an endpoint has read a call and then broken the
// connection.
func TestBrokenAnswerIsUnknown(t *testing.T) {
	var runs atomic.Int32
	srv := newBallotServer(t, func(http.ResponseWriter, *http.Request) { runs.Add(1); panic(http.ErrAbortHandler) })
	key := uuid.Must(uuid.NewV7()).String()
	for range 2 {
		if rec := castBallot(t.Context(), srv, key); !strings.Contains(rec.Body.String(), `"outcome":"unknown"`) || runs.Load() != 1 {
			t.Fatalf("got %d runs: %s; want one run and unknown", runs.Load(), rec.Body)
		}
	}
}

// Guards against an answer with an invalid head that is passed on, to the first attempt or to a later one with the same key.
func TestInvalidHeadIsUnknown(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 600 OK\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"HTTP/2.0 200 OK\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 200 O\x01K\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX\x01Bad: 1\r\nContent-Length: 5\r\n\r\n",
	} {
		var runs atomic.Int32
		srv := newBallotServer(t, func(wri http.ResponseWriter, req *http.Request) {
			runs.Add(1)
			standin.AnswerRaw(wri, req, head+"hello")
		})
		key := uuid.Must(uuid.NewV7()).String()
		for range 2 {
			rec := castBallot(t.Context(), srv, key)
			if rec.Code != http.StatusBadGateway || !strings.Contains(rec.Body.String(), `"outcome":"unknown"`) || runs.Load() != 1 {
				t.Errorf("%q: got %d runs, status %d: %s; want one run, 502 and unknown", head, runs.Load(), rec.Code, rec.Body)
			}
		}
	}
}

// A daemon that has not claimed the key does not know whether an earlier attempt ran, so it must not answer notRun.
// Guards against a caller that repeats a ballot, gets notRun and casts the ballot again under a new key.
func TestRefusalWithoutClaimIsUnknown(t *testing.T) {
	tests := map[string]func(srv *Server){
		"draining": func(srv *Server) {
			snp := *srv.Board.Snapshot()
			snp.DrainingSince = time.Now().Add(-time.Minute)
			srv.Board = fixedBoard{&snp}
		},
		"noConfiguration": func(srv *Server) { srv.Board = fixedBoard{&blackboard.Snapshot{}} },
		"claimUnavailable": func(srv *Server) {
			srv.Claims = claim.NewAcquirer(provider.NewHTTPLog("http://127.0.0.1:1"), "one", "one")
		},
	}
	for code, breakServer := range tests {
		t.Run(code, func(t *testing.T) {
			srv := newBallotServer(t, func(http.ResponseWriter, *http.Request) {})
			breakServer(srv)
			rec := castBallot(t.Context(), srv, uuid.Must(uuid.NewV7()).String())
			for _, want := range []string{`"outcome":"unknown"`, `"code":"` + code + `"`, "earlier attempt"} {
				if got := rec.Body.String(); !strings.Contains(got, want) {
					t.Errorf("got %s; want %s in it", got, want)
				}
			}
		})
	}
}

// Guards against a key that is still accepted after the log's retention has deleted its claim.
func TestKeyLifetimeFollowsRetention(t *testing.T) {
	srv := newBallotServer(t, func(http.ResponseWriter, *http.Request) {})
	srv.KeyLifetime = claim.Lifetime(time.Minute)
	rec := castBallot(t.Context(), srv, uuid.Must(uuid.NewV7()).String())
	if got, want := rec.Body.String(), "keyExpired"; !strings.Contains(got, want) {
		t.Errorf("got %s; want %s in it", got, want)
	}
}

// Guards against the outcome notRun for a resume that a draining daemon refuses, since its generation has begun.
func TestRefusedResumeIsUnknown(t *testing.T) {
	srv := newBallotServer(t, func(http.ResponseWriter, *http.Request) {})
	snp := *srv.Board.Snapshot()
	snp.DrainingSince = time.Now().Add(-time.Minute)
	srv.Board = fixedBoard{&snp}
	req := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/v1/completions", nil)
	req.Header.Set("Authorization", "Bearer secret")
	req.Header.Set(resumeHeader, "position")
	rec := httptest.NewRecorder()
	srv.Handler().ServeHTTP(rec, req)
	for _, want := range []string{`"outcome":"unknown"`, `"code":"draining"`} {
		if got := rec.Body.String(); !strings.Contains(got, want) {
			t.Errorf("got %s; want %s in it", got, want)
		}
	}
}
