package intake

import (
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
		for _, isChunked := range []bool{false, true} {
			body := bytes.Repeat([]byte("x"), size)
			var reader io.Reader = bytes.NewReader(body)
			if isChunked {
				reader = io.MultiReader(reader)
			}
			req, err := http.NewRequest(http.MethodPost, "http://"+address+"/", reader)
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Pad", strings.Repeat("x", 16000))
			res, err := clt.Do(req)
			if err != nil {
				t.Fatalf("body of %d bytes, chunked %t: got %v, want an answer", size, isChunked, err)
			}
			got, err := io.ReadAll(res.Body)
			_ = res.Body.Close()
			if err != nil || !bytes.Equal(got, body) {
				t.Errorf("body of %d bytes, chunked %t: got status %d and %d bytes, error %v; want the same body", size, isChunked, res.StatusCode, len(got), err)
			}
		}
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

// BenchmarkRequest measures a usual request on a kept connection, with and without a gate; the difference is what the
// gate costs.
func BenchmarkRequest(b *testing.B) {
	for _, hasGate := range []bool{false, true} {
		b.Run(fmt.Sprintf("gate=%t", hasGate), func(b *testing.B) {
			var gat *Gate
			if hasGate {
				gat = NewGate(16 << 20)
			}
			address := startServer(b, gat, 10, http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
				if hasGate {
					echo(wri, req)
					return
				}
				body, _ := io.ReadAll(http.MaxBytesReader(wri, req.Body, 4<<20))
				_, _ = wri.Write(body)
			}))
			con, err := net.Dial("tcp", address)
			if err != nil {
				b.Fatal(err)
			}
			defer con.Close()
			request := fmt.Appendf(nil, "POST /long/x HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer key\r\nAttempt-Id: 0123456789\r\nDeadline-Ms: 3000\r\nPrompt-Prefix: a:79,b:3000\r\nContent-Length: %d\r\n\r\n%s", 10<<10, bytes.Repeat([]byte("x"), 10<<10))
			answer := make([]byte, 64<<10)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := con.Write(request); err != nil {
					b.Fatal(err)
				}
				for got := 0; got < 10<<10; {
					count, err := con.Read(answer)
					if err != nil {
						b.Fatal(err)
					}
					got += count
				}
			}
		})
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
