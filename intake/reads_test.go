package intake

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"
)

// pieces is a connection whose reads return data in pieces of a size.
type pieces struct {
	net.Conn
	data    *bytes.Reader
	size    int
	written bytes.Buffer
}

func (pcs *pieces) Read(buf []byte) (int, error)     { return pcs.data.Read(buf[:min(len(buf), pcs.size)]) }
func (pcs *pieces) Write(data []byte) (int, error)   { return pcs.written.Write(data) }
func (pcs *pieces) Close() error                     { return nil }
func (pcs *pieces) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (pcs *pieces) SetDeadline(time.Time) error      { return nil }
func (pcs *pieces) SetReadDeadline(time.Time) error  { return nil }
func (pcs *pieces) SetWriteDeadline(time.Time) error { return nil }

func newPieces(data []byte, size int) (*Conn, *pieces) {
	pcs := &pieces{data: bytes.NewReader(data), size: size}
	gat := NewGate(64 << 20)
	gat.SetLimits(Limits{HeadBytes: 16384})
	return newConn(gat, &pool{gate: gat, most: 1, conns: map[*Conn]bool{}}, false, pcs), pcs
}

// aheadReader reads the first byte of a request by itself, as net/http does while it serves the request before.
type aheadReader struct {
	io.Reader
	begun bool
}

func (ahd *aheadReader) Read(buf []byte) (int, error) {
	if ahd.begun && len(buf) > 0 {
		ahd.begun = false
		return ahd.Reader.Read(buf[:1])
	}
	return ahd.Reader.Read(buf)
}

// readRequests reads requests as net/http does until the first error, and returns a line for each. With ahead, it reads
// the first byte after each request by itself.
func readRequests(src io.Reader, ahead bool) (requests []string, last error) {
	first := &aheadReader{Reader: src}
	rdr := bufio.NewReaderSize(first, 4096)
	for {
		req, err := http.ReadRequest(rdr)
		if err != nil {
			return requests, err
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return requests, err
		}
		requests = append(requests, fmt.Sprintf("%s %s %v %q %v", req.Method, req.RequestURI, req.Header, body, req.Trailer))
		first.begun = ahead && rdr.Buffered() == 0
	}
}

// checkRequests checks that the requests that are read from a gate's connection are those that net/http reads from the
// same bytes; the connection may end the requests sooner, but never differ.
func checkRequests(t *testing.T, data []byte, size int, ahead bool) (got, want []string, con *Conn, answer string) {
	con, pcs := newPieces(data, size)
	got, _ = readRequests(con, ahead)
	want, _ = readRequests(bytes.NewReader(data), false)
	for number, one := range got {
		if number >= len(want) || one != want[number] {
			t.Fatalf("pieces of %d, ahead %t: got request %d %q, want those of net/http %q", size, ahead, number, one, want)
		}
	}
	_ = con.Close()
	if memory, conns := con.gate.Used(); memory != 0 || conns != 0 {
		t.Fatalf("got %d bytes and %d connections after the end, want none", memory, conns)
	}
	return got, want, con, pcs.written.String()
}

// readCase is what one connection sends, and what comes of it.
type readCase struct {
	Name, Guards string
	// Send is sent, with the text of Pad Count times in place of PAD.
	Send, Pad string
	Count     int
	// Requests is the number of requests that are read, Status the beginning of the connection's own answer.
	Requests int
	Status   string
}

// Guards against heads that are handed out though they exceed a limit, against requests inside the limits that are
// refused, and against bytes of one request that are taken for another's. Each case of testdata/reads.yaml is read in
// pieces of several sizes.
func TestReads(t *testing.T) {
	file, err := os.ReadFile("testdata/reads.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []readCase
	dec := yaml.NewDecoder(bytes.NewReader(file))
	dec.KnownFields(true)
	if err := dec.Decode(&cases); err != nil || len(cases) == 0 {
		t.Fatalf("got %d cases, error %v; want some", len(cases), err)
	}
	for _, cse := range cases {
		t.Run(cse.Name, func(t *testing.T) {
			t.Log(cse.Guards)
			for _, size := range []int{1, 2, 7, 100, 4096, 100000} {
				cse.check(t, size, false)
				cse.check(t, size, true)
			}
		})
	}
}

func (cse *readCase) check(t *testing.T, size int, ahead bool) {
	data := []byte(strings.ReplaceAll(cse.Send, "PAD", strings.Repeat(cse.Pad, cse.Count)))
	got, _, con, answer := checkRequests(t, data, size, ahead)
	if len(got) != cse.Requests {
		t.Errorf("pieces of %d, ahead %t: got %d requests (%v), want %d", size, ahead, len(got), con.err, cse.Requests)
	}
	if !strings.HasPrefix(answer, cse.Status) || cse.Status == "" && answer != "" {
		t.Errorf("pieces of %d, ahead %t: got answer %q, want %q", size, ahead, answer, cse.Status)
	}
}

// FuzzReads guards against bytes that make a connection hand out other requests than net/http reads from them, crash, or
// keep memory.
func FuzzReads(f *testing.F) {
	file, err := os.ReadFile("testdata/reads.yaml")
	if err != nil {
		f.Fatal(err)
	}
	var cases []readCase
	if err := yaml.Unmarshal(file, &cases); err != nil {
		f.Fatal(err)
	}
	for _, cse := range cases {
		f.Add([]byte(strings.ReplaceAll(cse.Send, "PAD", strings.Repeat(cse.Pad, min(cse.Count, 10)))), uint16(5), true)
	}
	f.Fuzz(func(t *testing.T, data []byte, size uint16, ahead bool) {
		got, want, con, answer := checkRequests(t, data, int(size)+1, ahead)
		if len(got) < len(want) && answer == "" && con.state != stateSealed && (con.err == nil || errors.Is(con.err, io.EOF)) {
			t.Errorf("got %d requests and no refusal, want the %d of net/http", len(got), len(want))
		}
	})
}
