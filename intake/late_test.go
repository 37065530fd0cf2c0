package intake

import (
	"bytes"
	"errors"
	"os"
	"strings"
	"testing"
	"time"
)

// late is a connection whose calls with certain numbers time out, though there is data or room; a write writes a part
// before.
type late struct {
	*pieces
	// reads and writes are the numbers of the calls that time out, from 1 on.
	reads, writes       map[int]bool
	readCount, partSize int
	writeCount          int
}

func (lat *late) Read(buf []byte) (int, error) {
	if lat.readCount++; lat.reads[lat.readCount] {
		return 0, os.ErrDeadlineExceeded
	}
	return lat.pieces.Read(buf)
}

func (lat *late) Write(data []byte) (int, error) {
	if lat.writeCount++; lat.writes[lat.writeCount] {
		count, _ := lat.pieces.Write(data[:min(len(data), lat.partSize)])
		return count, os.ErrDeadlineExceeded
	}
	return lat.pieces.Write(data)
}

func newLate(data []byte, size int, reads, writes map[int]bool) (*Conn, *late) {
	con, pcs := newPieces(data, size)
	lat := &late{pieces: pcs, reads: reads, writes: writes}
	con.Conn = lat
	return con, lat
}

// Guards against heads and bodies that are refused after a pause of the process, though their bytes have arrived, and
// against a second try that never ends.
func TestLateReads(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n0123456789"
	for number := 1; number <= 8; number++ {
		con, lat := newLate([]byte(request), 10, map[int]bool{number: true}, nil)
		if got, err := readRequests(con, false); len(got) != 1 || lat.written.Len() != 0 {
			t.Errorf("time-out of read %d: got requests %q, error %v and answer %q; want the request and no answer", number, got, err, lat.written.String())
		}
	}
	for number, want := range map[int]string{1: "", 2: "HTTP/1.1 408", 4: "HTTP/1.1 408"} {
		con, lat := newLate([]byte(request), 10, map[int]bool{number: true, number + 1: true}, nil)
		got, _ := readRequests(con, false)
		if answer := lat.written.String(); len(got) != 0 || !strings.HasPrefix(answer, want) || want == "" && answer != "" {
			t.Errorf("time-outs of read %d and the next: got requests %q and answer %q, want %q", number, got, answer, want)
		}
	}
	con, _ := newLate([]byte(request), 10, map[int]bool{6: true, 7: true}, nil)
	if got, err := readRequests(con, false); len(got) != 0 || !errors.Is(err, ErrBodyTime) {
		t.Errorf("two time-outs within a body: got requests %q and error %v, want %v", got, err, ErrBodyTime)
	}
}

// Guards against a body that is cut after the time for the whole of it, though it had arrived by then, and against one that
// goes on without end after it.
func TestLateBody(t *testing.T) {
	for _, cse := range []struct {
		name  string
		outer bool
		reads map[int]bool
		whole bool
	}{
		{"rate", false, map[int]bool{2: true}, true},
		{"rate_again", false, map[int]bool{2: true, 4: true}, false},
		{"outer", true, map[int]bool{2: true}, true},
		{"outer_again", true, map[int]bool{2: true, 4: true}, false},
	} {
		con, _ := newLate([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 300\r\n\r\n"+strings.Repeat("x", 300)), 49, cse.reads, nil)
		now := time.Now()
		con.gate.Now = func() time.Time { return now }
		if count, err := con.Read(make([]byte, 4096)); err != nil {
			t.Fatalf("got %d bytes, error %v; want the head", count, err)
		}
		if cse.outer {
			_ = con.SetReadDeadline(now.Add(time.Second))
		}
		total, err := 0, error(nil)
		for total < 300 && err == nil {
			now = now.Add(bodyGrace + time.Second)
			var count int
			count, err = con.Read(make([]byte, 300))
			total += count
		}
		if cse.whole != (err == nil && total == 300) {
			t.Errorf("%s: got %d bytes, error %v; want whole %t", cse.name, total, err, cse.whole)
		}
	}
}

// Guards against a second try for a request that was dropped, or whose read was ended from outside.
func TestLateReadsEnded(t *testing.T) {
	for name, end := range map[string]func(*Conn){
		"dropped": func(con *Conn) { con.drop() },
		"ended":   func(con *Conn) { _ = con.SetReadDeadline(past) },
	} {
		con, _ := newLate([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n0123456789"), 48, map[int]bool{2: true}, nil)
		if count, err := con.Read(make([]byte, 4096)); err != nil {
			t.Fatalf("got %d bytes, error %v; want the head", count, err)
		}
		end(con)
		if count, err := con.Read(make([]byte, 4096)); err == nil {
			t.Errorf("%s: got %d bytes, want an error", name, count)
		}
	}
}

// Guards against answers that are cut or repeat bytes after a pause of the process, and against a caller that reads a
// little after each time-out.
func TestLateWrites(t *testing.T) {
	data := bytes.Repeat([]byte("0123456789abcdef"), writeBytes/8)
	for _, cse := range []struct {
		name   string
		part   int
		writes map[int]bool
		whole  bool
	}{
		{"once", 0, map[int]bool{1: true}, true},
		{"part", 1000, map[int]bool{1: true}, true},
		{"second_piece", 1000, map[int]bool{2: true}, true},
		{"both_pieces", 1000, map[int]bool{1: true, 3: true}, true},
		{"part_again", 1000, map[int]bool{1: true, 2: true}, true},
		{"no_progress", 0, map[int]bool{1: true, 2: true}, false},
		{"too_slow", 1000, map[int]bool{1: true, 2: true, 3: true}, false},
	} {
		con, lat := newLate(nil, 1, nil, cse.writes)
		lat.partSize = cse.part
		count, err := con.Write(data)
		if got := lat.written.Bytes(); count != len(got) || !bytes.HasPrefix(data, got) || cse.whole != (err == nil && count == len(data)) {
			t.Errorf("%s: got %d bytes counted and %d written, error %v; want whole %t", cse.name, count, len(got), err, cse.whole)
		}
	}
	con, lat := newLate(nil, 1, nil, map[int]bool{1: true})
	con.dropWriter()
	if count, err := con.Write(data); err == nil || lat.writeCount != 1 {
		t.Errorf("dropped: got %d bytes, error %v after %d writes; want an error after one", count, err, lat.writeCount)
	}
}

// Guards against idle connections whose callers end a body with an empty line, and which are answered 408 after the time
// for a head; and against heads that begin with an empty line and have the time of an idle connection.
func TestBlankBytesIdle(t *testing.T) {
	for _, cse := range []struct{ rest, want string }{
		{"", ""}, {"\r\n", ""}, {"\n", ""}, {"\r\n\r\n", ""}, {"\r\nG", "HTTP/1.1 408"}, {"G", "HTTP/1.1 408"},
	} {
		for _, size := range []int{1, 2, 3, 5, 4096} {
			if got, wait := readSilent(t, cse.rest, size, false); got != cse.want || (wait > time.Minute) != (cse.want == "") {
				t.Errorf("%q, pieces of %d: got answer %q and a deadline in %s, want %q and more than a minute %t", cse.rest, size, got, wait, cse.want, cse.want == "")
			}
			// The line whose first byte was read ahead counts as three bytes, so two such lines exceed maxBlankBytes. The
			// deadline is not compared, because that of a byte that is read ahead is not the gate's.
			if got, _ := readSilent(t, cse.rest, size, true); got != cse.want && cse.rest != "\r\n\r\n" {
				t.Errorf("%q, pieces of %d, read ahead: got answer %q, want %q", cse.rest, size, got, cse.want)
			}
		}
	}
}

// readSilent reads a request, with bytes behind it and then nothing. It returns the beginning of the connection's own answer
// and the time until the deadline of the first read that timed out.
func readSilent(t *testing.T, rest string, size int, ahead bool) (string, time.Duration) {
	t.Helper()
	con, pcs := newPieces([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"+rest), size)
	sil := &silent{pieces: pcs}
	con.Conn = sil
	if got, _ := readRequests(con, ahead); len(got) != 1 {
		t.Errorf("%q, pieces of %d, ahead %t: got requests %q, want one", rest, size, ahead, got)
	}
	answer := pcs.written.String()
	return answer[:min(len(answer), len("HTTP/1.1 408"))], sil.wait
}

// silent is a connection whose client sends no more after its data; its reads time out then.
type silent struct {
	*pieces
	until time.Time
	// wait is the time until the deadline of the first read that times out.
	wait time.Duration
}

func (sil *silent) SetReadDeadline(until time.Time) error {
	sil.until = until
	return nil
}

func (sil *silent) Read(buf []byte) (int, error) {
	if count, _ := sil.pieces.Read(buf); count > 0 {
		return count, nil
	}
	if sil.wait == 0 {
		sil.wait = time.Until(sil.until)
	}
	return 0, os.ErrDeadlineExceeded
}
