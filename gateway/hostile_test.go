package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.yaml.in/yaml/v3"

	"papayacroft/control"
	"papayacroft/gateway"
	"papayacroft/platform"
	"papayacroft/standin"
)

const (
	// hostileEngines is the number of endpoints in trouble that answer at once.
	hostileEngines = 20
	// hostileHeap is the heap that a daemon may use meanwhile.
	hostileHeap = 64 << 20
	heapPoll    = 5 * time.Millisecond
	// otherCalls is the number of requests to a sound endpoint meanwhile.
	otherCalls = 10
)

// hostileCase is an endpoint that sends bytes that are no answer, or no end of one.
type hostileCase struct {
	Name, Guards string
	// Route is once, again or short, as in the scripts' configuration.
	Route string
	// Head is sent once, with the request's id in place of ID. Repeat is sent then until the connection is closed, with a
	// pause of Pace between two; it is padded to Size bytes.
	Head, Repeat string
	Size         int
	Pace         time.Duration
	// Want is the status that the caller gets; 0 means that the answer visibly breaks off.
	Want int
	// Within is the time until the caller has an answer and the endpoint's connection is closed.
	Within time.Duration
}

// Each case of testdata/hostile.yaml plays endpoints that send bytes without end, many of them at once. The caller must
// get an honest end, the connection must be closed, the memory of the daemon stays bounded, and the requests of others are
// answered.
func TestHostileEndpoints(t *testing.T) {
	data, err := os.ReadFile("testdata/hostile.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []hostileCase
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

func (cse *hostileCase) play(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var engines []*hostileEngine
	var addresses []string
	for range hostileEngines {
		eng := newHostileEngine(t, cse)
		engines = append(engines, eng)
		addresses = append(addresses, eng.listener.Addr().String())
	}
	service, other := serviceOf(cse.Route), "pool"
	if service == "pool" {
		other = "desk"
	}
	eng := standin.NewSiteEngine("sound")
	sound := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		req.Header.Del("Expect-Instance")
		eng.ServeHTTP(wri, req)
	}))
	defer sound.Close()
	front := startFront(t, ctx, map[string][]string{service: addresses, other: {sound.Listener.Addr().String()}})
	peak := watchHeap(ctx)
	var grp sync.WaitGroup
	for i := range hostileEngines {
		grp.Go(func() { cse.call(t, front, fmt.Sprintf("id-%d", i)) })
	}
	grp.Go(func() { callOthers(t, front, other) })
	grp.Wait()
	for _, eng := range engines {
		eng.awaitClosed(t, cse.Within)
	}
	cancel()
	if got := <-peak; got > hostileHeap {
		t.Errorf("got a heap of %d MB, want %d at most", got>>20, hostileHeap>>20)
	}
}

// startFront starts a server for the endpoints of each service and returns its address. It may not repeat requests.
func startFront(t *testing.T, ctx context.Context, addresses map[string][]string) string {
	_, front := startServer(t, ctx, addresses)
	return front
}

// startServer starts a server for the endpoints of each service and returns it and its address.
func startServer(t *testing.T, ctx context.Context, addresses map[string][]string) (srv *gateway.Server, front string) {
	upd := control.EndpointUpdate{}
	for service, all := range addresses {
		for _, address := range all {
			edp, err := platform.ParseEndpoint(time.Now(), fmt.Sprintf("e%d", len(upd.Endpoints)), fmt.Appendf(nil,
				`{"service":%q,"address":%q,"zone":"a","slots":64,"state":"ready","sequence":1}`, service, address))
			if err != nil {
				t.Fatal(err)
			}
			upd.Endpoints = append(upd.Endpoints, edp)
		}
	}
	data := bytes.ReplaceAll(configuration("1", nil), []byte(`"targetLatencyMs":3000`), []byte(`"targetLatencyMs":300`))
	data = bytes.Replace(data, []byte(`"maxBodyBytes":4096`), []byte(`"maxBodyBytes":4194304`), 1)
	cat, err := platform.ParseCatalog(data)
	if err != nil {
		t.Fatal(err)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	ctl := control.New()
	ctl.Logger = logger
	go ctl.Run(ctx)
	ctl.Send(ctx, control.ConfigurationUpdate{Catalog: cat})
	// A daemon does not serve before it knows the evacuated failure domains.
	ctl.Send(ctx, control.Evacuations{Whole: true})
	ctl.Send(ctx, upd)
	for len(ctl.Snapshot().Fleet.Endpoints) < len(upd.Endpoints) {
		time.Sleep(time.Millisecond)
	}
	srv = gateway.NewServer()
	srv.Snapshots, srv.Wire, srv.Logger = ctl, platform.Headers{}, logger
	web := httptest.NewServer(srv)
	t.Cleanup(web.Close)
	return srv, web.Listener.Addr().String()
}

// serviceOf returns the service of a route in the scripts' configuration.
func serviceOf(route string) string {
	if route != "once" {
		return "pool"
	}
	return "desk"
}

// callOthers sends requests to a service whose endpoint is sound; each must be answered.
func callOthers(t *testing.T, front, service string) {
	route := "long"
	if service == "desk" {
		route = "once"
	}
	for i := range otherCalls {
		id := fmt.Sprintf("other-%d", i)
		req, err := standin.NewSiteCall(t.Context(), fmt.Sprintf("http://%s/%s/x?events=3", front, route), id, "key-one", time.Minute)
		if err != nil {
			t.Error(err)
			return
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Errorf("%s: got error %v, want an answer", id, err)
			return
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err != nil || res.StatusCode != http.StatusOK {
			t.Errorf("%s: got status %d, %q, error %v; want 200 and a whole answer", id, res.StatusCode, body, err)
		}
	}
}

// call sends one request and checks its end.
func (cse *hostileCase) call(t *testing.T, address, id string) {
	began := time.Now()
	req, err := standin.NewSiteCall(t.Context(), fmt.Sprintf("http://%s/%s/x", address, cse.Route), id, "key-one", time.Minute)
	if err != nil {
		t.Error(err)
		return
	}
	res, err := http.DefaultClient.Do(req)
	status := 0
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		if err == nil {
			status = res.StatusCode
		}
	}
	if status != cse.Want {
		t.Errorf("%s: got status %d, error %v; want %d", id, status, err, cse.Want)
	}
	if got := time.Since(began); got > cse.Within {
		t.Errorf("%s: got an answer after %v, want it within %v", id, got, cse.Within)
	}
}

// watchHeap samples the heap until the context ends and then returns its greatest size.
func watchHeap(ctx context.Context) chan uint64 {
	runtime.GC()
	peak := make(chan uint64, 1)
	go func() {
		var most uint64
		var sts runtime.MemStats
		for ctx.Err() == nil {
			runtime.ReadMemStats(&sts)
			most = max(most, sts.HeapAlloc)
			time.Sleep(heapPoll)
		}
		peak <- most
	}()
	return peak
}

// hostileEngine is an endpoint as a case describes it.
type hostileEngine struct {
	*hostileCase
	listener net.Listener
	// open counts the connections and the goroutine that accepts them.
	open sync.WaitGroup
}

func newHostileEngine(t *testing.T, cse *hostileCase) *hostileEngine {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	eng := &hostileEngine{hostileCase: cse, listener: lis}
	// This goroutine is in the group too, so that the counter is not zero while it can still add a connection.
	eng.open.Go(func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			eng.open.Go(func() { eng.serve(con) })
		}
	})
	return eng
}

// serve answers one request until its connection is closed.
func (eng *hostileEngine) serve(con net.Conn) {
	defer con.Close()
	req, err := http.ReadRequest(bufio.NewReader(con))
	if err != nil {
		return
	}
	id := req.Header.Get("Attempt-Id")
	if _, err := io.WriteString(con, strings.ReplaceAll(strings.ReplaceAll(eng.Head, "\n", "\r\n"), "ID", id)); err != nil {
		return
	}
	repeat := []byte(eng.Repeat)
	if eng.Size > 0 {
		repeat = []byte(strings.Repeat(eng.Repeat, eng.Size/len(eng.Repeat)))
	}
	for {
		if _, err := con.Write(repeat); err != nil {
			return
		}
		time.Sleep(eng.Pace)
	}
}

// awaitClosed stops accepting connections and checks that all connections to the endpoint were closed in time.
func (eng *hostileEngine) awaitClosed(t *testing.T, within time.Duration) {
	_ = eng.listener.Close()
	closed := make(chan struct{})
	go func() {
		eng.open.Wait()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(within):
		t.Errorf("got a connection that is still open after %v, want none", within)
	}
}
