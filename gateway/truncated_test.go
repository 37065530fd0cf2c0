package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"papayacroft/standin"
)

// truncatedAtOnce is the number of truncated answers at the same time.
const truncatedAtOnce = 16

// truncatedCase is an answer of an endpoint that closes the connection before its end.
type truncatedCase struct {
	Name, Guards string
	// Route is once or long, as in the scripts' configuration.
	Route string
	// Before is sent before the answer.
	Before string
	// Status is that of the answer, Head the rest of its head, and Body its framed body, with the request's id in place of ID.
	Status int
	Head   string
	Body   string
	// Ends are the texts after which the end of the connection is the end of the answer, if it has no length.
	Ends []string
}

// Each case of testdata/truncated.yaml is played once for each byte after which the endpoint may stop and close the
// connection. Only an answer that has ended may look whole to the caller.
func TestTruncatedAnswers(t *testing.T) {
	data, err := os.ReadFile("testdata/truncated.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []truncatedCase
	if err := yaml.Unmarshal(data, &cases); err != nil || len(cases) == 0 {
		t.Fatalf("got %d cases, error %v; want some", len(cases), err)
	}
	for _, cse := range cases {
		t.Run(cse.Name, func(t *testing.T) {
			t.Log(cse.Guards)
			cse.play(t)
		})
	}
}

func (cse *truncatedCase) play(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var open, grp sync.WaitGroup
	open.Go(func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			open.Go(func() { cse.serve(con) })
		}
	})
	defer open.Wait()
	defer func() { _ = lis.Close() }()
	front := startFront(t, t.Context(), map[string][]string{serviceOf(cse.Route): {lis.Addr().String()}})
	slots := make(chan struct{}, truncatedAtOnce)
	for length := range len(cse.answer("id-0000")) + 1 {
		slots <- struct{}{}
		grp.Go(func() {
			cse.call(t, front, length)
			<-slots
		})
	}
	grp.Wait()
}

// answer returns the whole answer.
func (cse *truncatedCase) answer(id string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\nAttempt-Id: ID\nResponse-Signature: s\n%s\n", cse.Status, http.StatusText(cse.Status), cse.Head)
	return strings.ReplaceAll(strings.ReplaceAll(cse.Before+head, "\n", "\r\n")+cse.Body, "ID", id)
}

// serve answers one request with as many bytes as its query says.
func (cse *truncatedCase) serve(con net.Conn) {
	defer con.Close()
	req, err := http.ReadRequest(bufio.NewReader(con))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	length, err := strconv.Atoi(req.URL.Query().Get("length"))
	if err != nil {
		return
	}
	_, _ = io.WriteString(con, cse.answer(req.Header.Get("Attempt-Id"))[:length])
}

// call sends a request whose answer is cut off after length bytes, and checks what the caller gets.
func (cse *truncatedCase) call(t *testing.T, front string, length int) {
	id := fmt.Sprintf("id-%04d", length)
	sent := cse.answer(id)[:length]
	req, err := standin.NewSiteCall(t.Context(), fmt.Sprintf("http://%s/%s/x?length=%d", front, cse.Route, length), id, "key-one", time.Minute)
	if err != nil {
		t.Error(err)
		return
	}
	status, body := 0, ""
	res, err := http.DefaultClient.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		status, body = res.StatusCode, string(data)
	}
	switch ended := cse.hasEnded(id, length); {
	case ended && (err != nil || status != cse.Status):
		t.Errorf("after %q: got status %d, error %v; want the whole answer", sent, status, err)
	case !ended && err == nil && status != http.StatusBadGateway:
		t.Errorf("after %q: got status %d and a body %q that looks whole, want 502 or a visible end", sent, status, body)
	}
}

// hasEnded reports whether the answer has ended after length bytes.
func (cse *truncatedCase) hasEnded(id string, length int) bool {
	whole := cse.answer(id)
	sent := whole[:length]
	if len(sent) == len(whole) {
		return true
	}
	_, body, inBody := strings.Cut(sent[min(len(sent), len(strings.ReplaceAll(cse.Before, "\n", "\r\n"))):], "\r\n\r\n")
	for _, end := range cse.Ends {
		if inBody && strings.HasSuffix(body, end) && (end == "" || body != "") {
			return true
		}
	}
	return false
}
