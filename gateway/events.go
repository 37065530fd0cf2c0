package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

const (
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 1 << 20
	eventIDField  = "id:"
)

// eventReader reads a stream of server-sent events in units of complete events, unmodified.
type eventReader struct {
	body io.Reader
	// framed is true if the answer has a content length or is chunked. A regular end then shows that the answer is
	// complete, so data after the last separator is part of it and not a truncated event.
	framed bool
	buffer []byte
	chunk  []byte
}

func newEventReader(res *http.Response) *eventReader {
	framed := res.ContentLength >= 0 || len(res.TransferEncoding) > 0
	return &eventReader{body: res.Body, framed: framed, chunk: make([]byte, readBufferBytes)}
}

// next returns the complete events that have arrived; it waits for the first one.
// At the end of the stream it returns io.EOF, or io.ErrUnexpectedEOF if the last event is truncated.
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

// eventsEnd returns the length of the complete events at the start of the data.
func eventsEnd(data []byte) int {
	end := 0
	for _, sep := range []string{"\n\n", "\r\n\r\n"} {
		if at := bytes.LastIndex(data, []byte(sep)); at >= 0 {
			end = max(end, at+len(sep))
		}
	}
	return end
}

// lastEventID returns the id of the last event that has an id, and the number of events with ids.
func lastEventID(events []byte) (id string, count int) {
	for _, line := range bytes.Split(events, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte(eventIDField)); ok {
			id = string(bytes.TrimSpace(value))
			count++
		}
	}
	return id, count
}
