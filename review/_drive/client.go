package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	siteHost = "ficu95.example"
	siteKey  = "xd9dnn2ctnfzs989anu6"
	kvTokens = 34454
)

// reply is what a client saw of one request.
type reply struct {
	id             string
	daemon         *daemon
	sentAt, endAt  time.Time
	status, events int
	signed         bool
	// whole is true if the answer ended regularly.
	whole bool
	err   error
	// stopped is true if the request was sent after a SIGTERM of its machine, and afterStop how long after the last one.
	stopped   bool
	afterStop time.Duration
}

func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// send sends a request of a client on a new connection and reads the answer to its end.
func (wld *world) send(dmn *daemon, path string, deadline time.Duration, header map[string]string, body string) *reply {
	rep := &reply{id: newID(), daemon: dmn, sentAt: time.Now()}
	defer func() { rep.endAt = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+dmn.caller+path, strings.NewReader(body))
	if err != nil {
		rep.err = err
		return rep
	}
	req.Host = siteHost
	req.Header.Set("Attempt-Id", rep.id)
	req.Header.Set("Authorization", "Bearer "+siteKey)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	res, err := client.Do(req)
	if err != nil {
		rep.err = err
		return rep
	}
	defer res.Body.Close()
	rep.status, rep.signed = res.StatusCode, res.Header.Get("Response-Signature") != ""
	reader := bufio.NewReader(res.Body)
	for {
		line, err := reader.ReadString('\n')
		if strings.HasPrefix(line, "id:") {
			rep.events++
		}
		if errors.Is(err, io.EOF) {
			rep.whole = true
			return rep
		}
		if err != nil {
			rep.err = err
			return rep
		}
	}
}

// stream sends a request of a stream route.
func (wld *world) stream(dmn *daemon, path string, deadline time.Duration, prompt, output int) *reply {
	return wld.send(dmn, path, deadline, map[string]string{
		"Model": "m", "Token-Usage": fmt.Sprintf("%d,%d", prompt, output),
		"Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,%s:%d", newID()[:8], prompt-200),
	}, "a prompt")
}

func (rep *reply) String() string {
	return fmt.Sprintf("request %s to %s: status %d, %d events, whole %t, error %v, took %.3f s", rep.id, rep.daemon.name, rep.status, rep.events,
		rep.whole, rep.err, rep.endAt.Sub(rep.sentAt).Seconds())
}

// config is a configuration like those of the small deployments.
func config(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "r-writeup", "host": siteHost, "pathPrefix": "/writeup/", "kind": "stream", "timeoutMs": 39000, "targetLatencyMs": 1800,
				"priority": 1, "service": "pool", "maxAttempts": 1, "public": false, "sticky": true, "resumable": false, "gapAimMs": 180,
			},
			map[string]any{
				"name": "r-blurb", "host": siteHost, "pathPrefix": "/blurb/", "kind": "stream", "timeoutMs": 6000, "targetLatencyMs": 1500,
				"priority": 0, "service": "pool", "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "gapAimMs": 180,
			},
			map[string]any{
				"name": "r-ballot", "host": siteHost, "pathPrefix": "/ballot/", "kind": "non_idempotent", "timeoutMs": 600, "targetLatencyMs": 100,
				"priority": 2, "service": "desk", "maxAttempts": 1, "public": false,
			},
		},
		"services": []any{
			map[string]any{
				"name": "pool", "healthPath": "/health", "maxConnections": 372, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 48, "kvCapacityTokens": kvTokens, "kvTokenBytes": 327680, "linkMbps": 47000.0, "moves": true, "backups": true, "stride": 4,
					"most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{"name": "desk", "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "huka270", "apiKeys": []any{siteKey}, "priority": 1}},
	}
}
