package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"
)

// siteStream is the answer that carries the events of a generation.
type siteStream struct {
	out   io.Writer
	flush func() error
	// conn is the connection of an answer that ends with it; nil if the answer has chunks.
	conn net.Conn
}

func openSiteStream(wri http.ResponseWriter, mode EngineMode) (*siteStream, error) {
	wri.Header().Set("Content-Type", "text/event-stream")
	if !slices.Contains([]EngineMode{EngineUnframed, EngineUnframedCuts, EngineUnframedEmpty, EngineErrorInStream}, mode) {
		return &siteStream{out: wri, flush: http.NewResponseController(wri).Flush}, nil
	}
	con, buf, err := beginUnframed(wri)
	if err != nil {
		return nil, err
	}
	return &siteStream{out: buf, flush: buf.Flush, conn: con}, nil
}

func (sst *siteStream) send(format string, args ...any) error {
	_, _ = fmt.Fprintf(sst.out, format, args...)
	return sst.flush()
}

// close ends the answer regularly.
func (sst *siteStream) close() {
	if sst.conn != nil {
		_ = sst.conn.Close()
	}
}

// breakOff ends the answer without its end; without chunks that looks like the regular end.
func (sst *siteStream) breakOff() {
	if sst.conn == nil {
		panic(http.ErrAbortHandler)
	}
}

// beginUnframed sends the head of an answer that ends with its connection, and returns the connection.
func beginUnframed(wri http.ResponseWriter) (net.Conn, *bufio.ReadWriter, error) {
	con, buf, err := http.NewResponseController(wri).Hijack()
	if err != nil {
		return nil, nil, err
	}
	_, _ = fmt.Fprint(buf, "HTTP/1.1 200 OK\r\n")
	_ = wri.Header().Write(buf)
	_, _ = fmt.Fprint(buf, "\r\n")
	return con, buf, buf.Flush()
}

// stopsInEvent reports whether an engine in this mode ends a stream inside an event, after half of the events.
func (mod EngineMode) stopsInEvent() bool {
	return mod == EngineCuts || mod == EngineStopsInEvent || mod == EngineUnframedCuts
}

func (sen *SiteEngine) stream(wri http.ResponseWriter, req *http.Request, run *SiteRun, mode EngineMode, from, events int) {
	gen := &siteGeneration{made: from, stopped: make(chan struct{})}
	sen.mutex.Lock()
	sen.active[run.CallID] = gen
	sen.mutex.Unlock()
	defer func() {
		sen.mutex.Lock()
		delete(sen.active, run.CallID)
		sen.mutex.Unlock()
	}()
	stm, err := openSiteStream(wri, mode)
	if err != nil {
		return
	}
	defer stm.close()
	if mode == EngineUnframedEmpty {
		events = 0
	}
	ticker := time.NewTicker(sen.Interval)
	defer ticker.Stop()
	for made := from + 1; made <= events; made++ {
		select {
		case <-ticker.C:
		case <-gen.stopped:
			stm.breakOff()
			return
		case <-req.Context().Done():
			sen.markCut(run)
			return
		}
		if mode == EngineErrorInStream && made > events/2 {
			_ = stm.send("HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nthe generation failed\n\n")
			return
		}
		if mode.stopsInEvent() && made > events/2 {
			_ = stm.send("id: %d\ndata: half", made)
			if mode == EngineCuts {
				stm.breakOff()
			}
			return
		}
		sen.mutex.Lock()
		gen.made = made
		sen.mutex.Unlock()
		if err := stm.send("id: %d\ndata: %s\n\n", made, run.CallID); err != nil {
			sen.markCut(run)
			return
		}
	}
}

// deadlyDelay is the time from the end of a whole answer to a request with a deadly part to the crash.
const deadlyDelay = 300 * time.Millisecond

// answerDeadly answers a request with a deadly part, and crashes.
func (sen *SiteEngine) answerDeadly(wri http.ResponseWriter, run *SiteRun, dly DeadlyPart, from int) {
	if dly.Form == DeadlyFails {
		sen.Crash()
		answerFailure(wri, EngineFailsShort)
	}
	wri.Header().Set("Content-Type", "text/event-stream")
	for made := from + 1; made <= from+dly.Events; made++ {
		_, _ = fmt.Fprintf(wri, "id: %d\ndata: %s\n\n", made, run.CallID)
		_ = http.NewResponseController(wri).Flush()
		time.Sleep(sen.Interval)
	}
	_ = http.NewResponseController(wri).Flush()
	switch dly.Form {
	case DeadlyWhole:
		time.AfterFunc(deadlyDelay, func() {
			sen.Crash()
			sen.Stop()
		})
		return
	case DeadlyRestarts:
	default:
		sen.Crash()
	}
	panic(http.ErrAbortHandler)
}
