package gateway_test

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"papayacroft/standin"
)

const (
	// headBody is the body of all answers of a headEngine.
	headBody = "id: 1\ndata: hello\n\n"
	// maxRepeats is the number of requests among which one must have reached the faulty endpoint of two.
	maxRepeats = 50
)

// validAnswer matches an answer to a caller: a status line, field lines and a body.
var validAnswer = regexp.MustCompile(`^HTTP/1\.1 ([1-5][0-9]{2}) [^\r\n]*\r\n` +
	"(?:[!#$%&'*+.^_|~0-9A-Za-z`-]+:[^\\x00-\\x08\\x0a-\\x1f\\x7f]*\r\n)*\r\n")

// headCase is an answer that may have a head that is not valid HTTP/1.1.
type headCase struct {
	Name, Guards string
	// Before is sent before the answer.
	Before string
	// Status is the status line; empty means that of a success. Fields are the first field lines, and Unframed leaves out the
	// length of the body, so that the answer ends with its connection.
	Status, Fields string
	Unframed       bool
	// Want is the status that the caller of the only endpoint gets; 0 means 502.
	Want int
}

func (cse *headCase) isValid() bool {
	return cse.Want != 0
}

// answer returns the whole answer to the request with an id.
func (cse *headCase) answer(id string) string {
	head := cse.Before + cmp.Or(cse.Status, "HTTP/1.1 200 OK") + "\n" + cse.Fields +
		"Attempt-Id: " + id + "\nResponse-Signature: s\nContent-Type: text/event-stream\n"
	if !cse.Unframed {
		head += fmt.Sprintf("Content-Length: %d\n", len(headBody))
	}
	return strings.ReplaceAll(head+"\n", "\n", "\r\n") + headBody
}

// Each case of testdata/head.yaml is an answer with a status of success and a signature, or with a statement that the request
// has not run. If the head is not valid, none of it may reach the caller: a request that may not be repeated gets 502, which
// does not promise that it has not run, and one that may be gets the answer of another endpoint if there is one.
func TestInvalidHeads(t *testing.T) {
	data, err := os.ReadFile("testdata/head.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []headCase
	if err := yaml.Unmarshal(data, &cases); err != nil || len(cases) == 0 {
		t.Fatalf("got %d cases, error %v; want some", len(cases), err)
	}
	for _, cse := range cases {
		t.Run(cse.Name, func(t *testing.T) {
			t.Log(cse.Guards)
			for _, route := range []string{"once", "check", "long", "short"} {
				t.Run(route, func(t *testing.T) {
					t.Parallel()
					cse.playAlone(t, route)
				})
			}
			if cse.isValid() {
				return
			}
			for _, route := range []string{"check", "short"} {
				t.Run(route+"Repeated", func(t *testing.T) {
					t.Parallel()
					cse.playRepeated(t, route)
				})
			}
		})
	}
}

// playAlone sends one request to the only endpoint.
func (cse *headCase) playAlone(t *testing.T, route string) {
	eng := newHeadEngine(t, cse)
	front := startFront(t, t.Context(), map[string][]string{serviceOf(route): {eng.address()}})
	status, answer := callRaw(t, front, route, "id-1")
	want := cmp.Or(cse.Want, http.StatusBadGateway)
	if status != want || strings.Contains(answer, headBody) != cse.isValid() {
		t.Errorf("got the answer %q, want status %d, with the endpoint's body %t", answer, want, cse.isValid())
	}
	if got := eng.runs.Load(); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}

// playRepeated sends requests until one has reached the faulty endpoint of two.
func (cse *headCase) playRepeated(t *testing.T, route string) {
	eng := newHeadEngine(t, cse)
	other := newHeadEngine(t, &headCase{Fields: "X-Sound: 1\n"})
	srv, front := startServer(t, t.Context(), map[string][]string{serviceOf(route): {eng.address(), other.address()}})
	srv.Budget.SetLimits(0, 1, time.Minute)
	for i := 0; eng.runs.Load() == 0; i++ {
		if i == maxRepeats {
			t.Fatalf("got no request at the faulty endpoint among %d", i)
		}
		status, answer := callRaw(t, front, route, fmt.Sprintf("id-%d", i))
		if status != http.StatusOK || !strings.Contains(answer, "X-Sound: 1") {
			t.Fatalf("got the answer %q, want that of the sound endpoint", answer)
		}
	}
}

// callRaw sends a request and returns the status and all bytes of the answer; it fails the test if they are no answer.
func callRaw(t *testing.T, front, route, id string) (status int, answer string) {
	req, err := standin.NewSiteCall(t.Context(), fmt.Sprintf("http://%s/%s/x", front, route), id, "key-one", time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	req.Close = true
	con, err := net.Dial("tcp", front)
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	if err := req.Write(con); err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(con)
	if err != nil {
		t.Fatalf("got error %v after %q, want an answer", err, data)
	}
	answer = string(data)
	found := validAnswer.FindStringSubmatch(answer)
	if found == nil {
		t.Fatalf("got %q, want an answer in HTTP/1.1", answer)
	}
	if status, err = strconv.Atoi(found[1]); err != nil {
		t.Fatal(err)
	}
	return status, answer
}

// headEngine is an endpoint that answers each request as a case describes it.
type headEngine struct {
	*headCase
	server *httptest.Server
	// runs is the number of requests that it has answered.
	runs atomic.Int64
}

func newHeadEngine(t *testing.T, cse *headCase) *headEngine {
	eng := &headEngine{headCase: cse}
	eng.server = httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		eng.runs.Add(1)
		standin.AnswerRaw(wri, req, eng.answer(req.Header.Get("Attempt-Id")))
	}))
	t.Cleanup(eng.server.Close)
	return eng
}

func (eng *headEngine) address() string {
	return eng.server.Listener.Addr().String()
}
