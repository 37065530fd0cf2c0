package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// attempts numbers the requests of the clients; each attempt has its own id.
var attempts atomic.Int64

// attempt is one request of a client with its answer.
type attempt struct {
	id, path, prefix string
	gateway          *gateway
	sentAt           time.Time
	// status is 0 if no answer arrived. whole is true if the answer ended as complete.
	status    int
	signature string
	body      string
	whole     bool
	err       error
	// retryAfter is the answer's Retry-After, and again the client's next attempt after a refusal.
	retryAfter time.Duration
	again      *attempt
}

// newAttempt returns a request; prefix is its Prompt-Prefix, empty for plain requests.
func newAttempt(gtw *gateway, path, prefix string) *attempt {
	return &attempt{id: fmt.Sprintf("%016x", 0x1c41d07b00000000+attempts.Add(1)), path: path, prefix: prefix, gateway: gtw}
}

// send sends the request on a connection of its own and reads the answer to its end.
func (att *attempt) send(rec *record, deadline time.Duration) {
	att.sentAt = time.Now()
	rec.add("client: %s %s sent to %s", att.id, att.path, att.gateway.name)
	att.err = att.exchange(deadline)
	rec.add("client: %s gets status %d, signature %q, %d bytes, whole %v, error %v", att.id, att.status, att.signature, len(att.body), att.whole, att.err)
}

// isRefused reports whether the answer promises that the request has not run.
func (att *attempt) isRefused() bool {
	return att.status == http.StatusServiceUnavailable || att.status == http.StatusTooManyRequests
}

// sendAgain sends a refused request once more, with an id of its own and to another gateway, if the client may wait for
// as long as it is told.
func (att *attempt) sendAgain(rec *record, deadline time.Duration, gtw *gateway) {
	left := deadline - time.Since(att.sentAt)
	if !att.isRefused() || att.retryAfter > left/3 {
		return
	}
	time.Sleep(att.retryAfter)
	att.again = newAttempt(gtw, att.path, att.prefix)
	rec.add("client: %s is sent again as %s", att.id, att.again.id)
	att.again.send(rec, left-att.retryAfter)
}

func (att *attempt) exchange(deadline time.Duration) error {
	con, err := net.DialTimeout("tcp", att.gateway.callers, time.Second)
	if err != nil {
		return err
	}
	defer con.Close()
	_ = con.SetDeadline(att.sentAt.Add(deadline))
	method, body := http.MethodPost, `{"text":"`+strings.Repeat("a ", 300)+att.id+`"}`
	if strings.HasPrefix(att.path, "/tally/") {
		method, body = http.MethodGet, ""
	}
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", method, att.path, host, att.id, deadline.Milliseconds(), key)
	if att.prefix != "" {
		fmt.Fprintf(&buf, "Model: m\r\nToken-Usage: 600,80\r\nPrompt-Prefix: %s\r\n", att.prefix)
	}
	fmt.Fprintf(&buf, "Content-Length: %d\r\n\r\n%s", len(body), body)
	if _, err := con.Write(buf.Bytes()); err != nil {
		return err
	}
	res, err := http.ReadResponse(bufio.NewReader(con), &http.Request{Method: method})
	if err != nil {
		return err
	}
	att.status, att.signature = res.StatusCode, res.Header.Get("Response-Signature")
	if seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		att.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	data, err := io.ReadAll(res.Body)
	att.body, att.whole = string(data), err == nil
	return err
}

// events returns the number of whole events in a stream's body, and whether it ends inside one.
func (att *attempt) events() (count int, inEvent bool) {
	return strings.Count(att.body, "\n\n"), att.body != "" && !strings.HasSuffix(att.body, "\n\n")
}
