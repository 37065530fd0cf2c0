package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got; status is 0 without a whole answer.
type answer struct {
	status    int
	signature string
	body      string
	err       error
}

// call sends one request on a new connection and reads the whole answer.
func call(address, method, path, id, key string, limit time.Duration, headers ...string) answer {
	con, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer con.Close()
	_ = con.SetDeadline(time.Now().Add(limit))
	return callOn(con, method, path, id, key, limit, headers...)
}

// callOn sends one request on a connection and reads the whole answer.
func callOn(con net.Conn, method, path, id, key string, limit time.Duration, headers ...string) answer {
	head := requestHead(method, path, id, key, limit, headers...)
	body := ""
	if method == http.MethodPost {
		body = "body of " + id
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(con, head+"\r\n"+body); err != nil {
		return answer{err: err}
	}
	res, err := http.ReadResponse(bufio.NewReader(con), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	data, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	ans := answer{status: res.StatusCode, signature: res.Header.Get("Response-Signature"), body: string(data), err: err}
	if err != nil {
		ans.status = 0
	}
	return ans
}

// requestHead returns the head of a request without its end.
func requestHead(method, path, id, key string, limit time.Duration, headers ...string) string {
	var bld strings.Builder
	fmt.Fprintf(&bld, "%s %s HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		method, path, id, limit.Milliseconds(), key)
	for _, line := range headers {
		bld.WriteString(line + "\r\n")
	}
	return bld.String()
}
