package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	eventIDField  = "id:"
)

// eventReader splits a stream into whole events, which it doesn't change.
type eventReader struct {
	body io.Reader
	// framed is true if the answer's framing tells its end, so that what follows the last whole event belongs to it.
	framed bool
	buffer []byte
	chunk  []byte
}

func newEventReader(res *http.Response) *eventReader {
	framed := res.ContentLength >= 0 || len(res.TransferEncoding) > 0
	return &eventReader{body: res.Body, framed: framed, chunk: make([]byte, readBufferBytes)}
}

// next returns the whole events that have arrived, waiting for the first.
// At the end of the stream it returns io.EOF, or io.ErrUnexpectedEOF if the last event is not whole.
func (evr *eventReader) next() ([]byte, error) {
	for {
		if end := eventsEnd(evr.buffer); end > 0 {
			events := evr.buffer[:end:end]
			evr.buffer = append([]byte(nil), evr.buffer[end:]...)
			return events, nil
		}
		if len(evr.buffer) > maxEventBytes {
			return nil, io.ErrShortBuffer
		}
		count, err := evr.body.Read(evr.chunk)
		evr.buffer = append(evr.buffer, evr.chunk[:count]...)
		if err == nil || eventsEnd(evr.buffer) > 0 {
			continue
		}
		if errors.Is(err, io.EOF) && len(evr.buffer) > 0 {
			if !evr.framed {
				return nil, io.ErrUnexpectedEOF
			}
			rest := evr.buffer
			evr.buffer = nil
			return rest, nil
		}
		return nil, err
	}
}

// eventsEnd returns the length of the whole events at the start of the data.
func eventsEnd(data []byte) int {
	end := 0
	for _, sep := range []string{"\n\n", "\r\n\r\n"} {
		if at := bytes.LastIndex(data, []byte(sep)); at >= 0 {
			end = max(end, at+len(sep))
		}
	}
	return end
}

// lastEventID returns the id of the last event that has one and the number of events.
func lastEventID(events []byte) (id string, count int) {
	for _, line := range bytes.Split(events, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte(eventIDField)); ok {
			id = string(bytes.TrimSpace(value))
			count++
		}
	}
	return id, count
}
