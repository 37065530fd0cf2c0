package intake

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// startServer serves with a gate, or without one, and returns the address.
func startServer(tb testing.TB, gat *Gate, most int, hdl http.Handler) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	address := lis.Addr().String()
	srv := &http.Server{Handler: hdl, ReadHeaderTimeout: time.Minute}
	if gat != nil {
		srv, lis = gat.HTTPServer(hdl), gat.Listen(lis, most)
	}
	tb.Cleanup(func() { _ = srv.Close() })
	go func() { _ = srv.Serve(lis) }()
	return address
}

func echo(wri http.ResponseWriter, req *http.Request) {
	body, err := ReadBody(req, 4<<20)
	if err != nil {
		http.Error(wri, err.Error(), http.StatusInsufficientStorage)
		return
	}
	_, _ = wri.Write(body)
}

// Guards against limits that ordinary clients reach: a head and a body of the whole limit, a body in chunks, many requests
// on a connection with pauses below the idle time, several requests sent at once; and against memory that is kept after
// them.
func TestOrdinaryClients(t *testing.T) {
	gat := NewGate(16 << 20)
	gat.SetLimits(Limits{HeadBytes: 16384, HeadTime: time.Minute, IdleTime: time.Minute})
	address := startServer(t, gat, 10, http.HandlerFunc(echo))
	clt := &http.Client{Transport: &http.Transport{}}
	defer clt.CloseIdleConnections()
	for _, size := range []int{0, 1, 100, 16 << 10, 1 << 20, 4 << 20} {
		body := bytes.Repeat([]byte("x"), size)
		checkEcho(t, clt, address, body, bytes.NewReader(body))
		checkEcho(t, clt, address, body, io.MultiReader(bytes.NewReader(body)))
	}
	con, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	const pipelined = 200
	go func() {
		for number := range pipelined {
			_, _ = fmt.Fprintf(con, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n%03d", number)
		}
		_, _ = io.WriteString(con, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	}()
	answers, err := io.ReadAll(con)
	if got := strings.Count(string(answers), "200 OK"); err != nil || got != pipelined+1 {
		t.Errorf("got %d answers to requests sent at once, error %v; want %d", got, err, pipelined+1)
	}
	clt.CloseIdleConnections()
	awaitUnused(t, gat)
}

// checkEcho sends a body, in chunks if the reader's length is not known, and checks that it comes back.
func checkEcho(t *testing.T, clt *http.Client, address string, body []byte, reader io.Reader) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/", reader)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Pad", strings.Repeat("x", 16000))
	res, err := clt.Do(req)
	if err != nil {
		t.Fatalf("body of %d bytes, length %d: got %v, want an answer", len(body), req.ContentLength, err)
	}
	defer res.Body.Close()
	if got, err := io.ReadAll(res.Body); err != nil || !bytes.Equal(got, body) {
		t.Errorf("body of %d bytes, length %d: got status %d and %d bytes, error %v; want the same body", len(body), req.ContentLength, res.StatusCode, len(got), err)
	}
}

// awaitUnused waits until all connections are closed, and checks that they have returned their memory.
func awaitUnused(t *testing.T, gat *Gate) {
	t.Helper()
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		memory, conns := gat.Used()
		if conns == 0 && memory == 0 {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("got %d bytes and %d connections, want none", memory, conns)
		}
	}
}

// Guards against limits that a later configuration does not change, and against a refusal of a body without the right
// status.
func TestLimitsChange(t *testing.T) {
	gat := NewGate(16 << 20)
	address := startServer(t, gat, 10, http.HandlerFunc(echo))
	head := "GET / HTTP/1.1\r\nHost: a\r\nPad: " + strings.Repeat("x", 20000) + "\r\nConnection: close\r\n\r\n"
	for _, stp := range []struct {
		limit int
		want  string
	}{{0, "HTTP/1.1 200"}, {16384, "HTTP/1.1 431"}, {30000, "HTTP/1.1 200"}} {
		gat.SetLimits(Limits{HeadBytes: stp.limit})
		con, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(con, head)
		answer, _ := io.ReadAll(con)
		_ = con.Close()
		if !strings.HasPrefix(string(answer), stp.want) {
			t.Errorf("limit %d: got %.40q, want %s", stp.limit, answer, stp.want)
		}
	}
}

// Guards against a full table of connections that turns away a caller though others have no request, and against closing
// a connection with a request for it.
func TestConnectionsLimit(t *testing.T) {
	gat := NewGate(16 << 20)
	begun, finish := make(chan struct{}), make(chan struct{})
	address := startServer(t, gat, 3, http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/wait" {
			close(begun)
			<-finish
		}
		echo(wri, req)
	}))
	busy, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(busy, "GET /wait HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	<-begun
	for range 10 {
		con, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer con.Close()
	}
	res, err := http.Get("http://" + address + "/")
	if err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("got %v, error %v beside silent connections; want an answer", res, err)
	}
	close(finish)
	if answer, err := io.ReadAll(busy); err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 200") {
		t.Errorf("got %.40q, error %v for the request in progress; want its answer", answer, err)
	}
}

// Guards against more than one log line a second for a limit, and against clients that are not counted.
func TestNotes(t *testing.T) {
	now := time.Unix(1000, 0)
	gat := NewGate(1 << 20)
	gat.Now = func() time.Time { return now }
	counts := map[string]int{}
	gat.OnLimit = func(limit string) { counts[limit]++ }
	con, _ := newPieces(nil, 1)
	logger := &lineCounter{}
	gat.Logger = logger.logger()
	for range 5 {
		gat.note(errHeadSize, con)
		gat.note(ErrMemory, con)
	}
	now = now.Add(logInterval)
	gat.note(errHeadSize, con)
	if counts["head"] != 6 || counts["memory"] != 5 || logger.lines != 3 {
		t.Errorf("got counts %v and %d lines, want head 6, memory 5 and 3 lines", counts, logger.lines)
	}
}

// BenchmarkRequest measures requests on a kept connection, with and without a gate; the difference is what the gate costs.
func BenchmarkRequest(b *testing.B) {
	ungated := func(wri http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(http.MaxBytesReader(wri, req.Body, 4<<20))
		_, _ = wri.Write(body)
	}
	for _, size := range []int{100, 10 << 10, 1 << 20} {
		b.Run(fmt.Sprintf("bytes=%d/gate=false", size), func(b *testing.B) {
			benchmarkRequests(b, startServer(b, nil, 0, http.HandlerFunc(ungated)), size)
		})
		b.Run(fmt.Sprintf("bytes=%d/gate=true", size), func(b *testing.B) {
			benchmarkRequests(b, startServer(b, NewGate(16<<20), 10, http.HandlerFunc(echo)), size)
		})
	}
}

func benchmarkRequests(b *testing.B, address string, size int) {
	con, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer con.Close()
	request := fmt.Appendf(nil, "POST /long/x HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer key\r\nAttempt-Id: 0123456789\r\nDeadline-Ms: 3000\r\nPrompt-Prefix: a:79,b:3000\r\nContent-Length: %d\r\n\r\n%s",
		size, bytes.Repeat([]byte("x"), size))
	answer := bufio.NewReaderSize(con, 64<<10)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := con.Write(request); err != nil {
			b.Fatal(err)
		}
		res, err := http.ReadResponse(answer, nil)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			b.Fatal(err)
		}
	}
}

// lineCounter counts the lines that are logged.
type lineCounter struct {
	lines int
}

func (cnt *lineCounter) logger() logrus.FieldLogger {
	logger := logrus.New()
	logger.SetOutput(cnt)
	return logger
}

// Write counts a line.
func (cnt *lineCounter) Write(line []byte) (int, error) {
	cnt.lines++
	return len(line), nil
}

// Guards against closing a connection whose answer has not been written yet for a new one.
func TestAnswerPending(t *testing.T) {
	gat := NewGate(1 << 20)
	con, _ := newPieces([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), 4096)
	con.gate = gat
	con.pool.conns[con] = true
	if _, err := con.Read(make([]byte, 4096)); err != nil {
		t.Fatal(err)
	}
	con.endRequest()
	if cls, _ := con.rank(time.Now(), time.Unix(0, 0)); cls != classBusy {
		t.Errorf("got class %d after the handler, want that of a busy connection", cls)
	}
	if _, err := con.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	_, _ = con.Read(make([]byte, 4096))
	if cls, _ := con.rank(time.Now(), time.Unix(0, 0)); cls != classIdle {
		t.Errorf("got class %d while the next request is awaited, want that of an idle connection", cls)
	}
}

// Guards against closing callers' connections after a pause of the process, during which what they sent and read was not
// seen.
func TestPause(t *testing.T) {
	now := time.Unix(1000, 0)
	gat := NewGate(1 << 20)
	gat.Now = func() time.Time { return now }
	conns := map[string]*Conn{}
	for _, name := range []string{"fresh", "body", "reader"} {
		con, _ := newPieces(nil, 1)
		con.gate, con.pool.gate, con.pool.most = gat, gat, 0
		con.waitingSince.Store(0)
		conns[name], con.pool.conns[con], gat.conns[con] = con, true, true
	}
	conns["fresh"].waitingSince.Store(now.UnixNano())
	conns["body"].reading.Store(true)
	conns["body"].holder.Touch(now)
	conns["reader"].writingSince.Store(now.UnixNano())
	check := func(at string, fresh, body class, isDropped bool) {
		t.Helper()
		gat.mutex.Lock()
		gat.dropReader(now)
		gat.mutex.Unlock()
		for name, want := range map[string]class{"fresh": fresh, "body": body} {
			if got, _ := conns[name].rank(now, gat.resumed(now)); got != want {
				t.Errorf("%s: got class %d of %s, want %d", at, got, name, want)
			}
		}
		if got := conns["reader"].writeDropped.Load(); got != isDropped {
			t.Errorf("%s: got reader dropped %t, want %t", at, got, isDropped)
		}
	}
	gat.budget.Note(now)
	now = now.Add(6 * time.Second)
	check("after the pause", classFresh, classBusy, false)
	for range 10 {
		now = now.Add(200 * time.Millisecond)
		gat.budget.Note(now)
	}
	check("2 s later", classUnused, classStalled, true)
}

// Guards against a gate that notes no time while connections are open, so that it takes each pause between two decisions
// for one of the process, or that goes on after the last.
func TestNoteTime(t *testing.T) {
	gat := NewGate(1 << 20)
	address := startServer(t, gat, 3, http.HandlerFunc(echo))
	isNoting := func() bool {
		gat.mutex.Lock()
		defer gat.mutex.Unlock()
		return gat.noting && !gat.budget.noted.IsZero()
	}
	con, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	await(t, isNoting)
	_ = con.Close()
	await(t, func() bool { return !isNoting() })
}

func await(t *testing.T, done func() bool) {
	t.Helper()
	for until := time.Now().Add(20 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("got no change within 20 s")
		}
	}
}

// Guards against a budget that callers use up, so that messages of peers are refused, also after it was changed.
func TestPeerReserve(t *testing.T) {
	gat := NewGate(1 << 20)
	gat.SetMemory(2 << 20)
	for gat.take(&Holder{}, smallBytes) == nil {
	}
	_, pcs := newPieces(nil, 1)
	con := newConn(gat, &pool{gate: gat, conns: map[*Conn]bool{}}, true, pcs)
	const share = (2 << 20) / peerReserveShare / messageCopies
	if _, err := gat.BeginMessage(con, share); err != nil {
		t.Errorf("got %v for a message of %d bytes, want it admitted", err, share)
	}
}
