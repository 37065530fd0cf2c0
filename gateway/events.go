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
	// maxIdleBytes limits what a stream may have between two events with an id, such as comments.
	maxIdleBytes = 64 << 10
	eventIDField = "id:"
	// maxSeparatorBytes is the size of the longest separator of events.
	maxSeparatorBytes = 4
)

// eventReader reads a stream of server-sent events in units of complete events, unmodified.
type eventReader struct {
	body io.Reader
	// framed is true if the answer has a content length or is chunked. A regular end then shows that the answer is
	// complete, so data after the last separator is part of it and not a truncated event.
	framed bool
	// begun is true once data has arrived.
	begun  bool
	buffer buffer
	chunk  []byte
	// scanned is the size of the data at the start of buffer that has no end of an event.
	scanned int
	// idle is the size of the data since the last event with an id.
	idle int
}

func newEventReader(res *http.Response, pool *bufferPool) *eventReader {
	framed := res.ContentLength >= 0 || len(res.TransferEncoding) > 0
	return &eventReader{body: res.Body, framed: framed, buffer: buffer{pool: pool}, chunk: make([]byte, readBufferBytes)}
}

// release returns the reader's memory to the pool.
func (evr *eventReader) release() {
	evr.buffer.release()
}

// next returns the complete events that have arrived; it waits for the first one.
// At the end of the stream it returns io.EOF, or io.ErrUnexpectedEOF if the stream broke off: inside an event, or before
// the first one.
func (evr *eventReader) next() ([]byte, error) {
	for {
		if end := evr.eventsEnd(); end > 0 {
			return evr.cut(end)
		}
		if len(evr.buffer.data) > maxEventBytes {
			return nil, errEventTooLong
		}
		count, err := evr.body.Read(evr.chunk)
		evr.begun = evr.begun || count > 0
		if err := evr.buffer.append(evr.chunk[:count]); err != nil {
			return nil, err
		}
		if err == nil {
			continue
		}
		if end := evr.eventsEnd(); end > 0 {
			return evr.cut(end)
		}
		switch inEvent := len(evr.buffer.data) > 0; {
		case !errors.Is(err, io.EOF):
			return nil, err
		case !evr.framed && (inEvent || !evr.begun):
			return nil, io.ErrUnexpectedEOF
		case inEvent:
			return evr.cut(len(evr.buffer.data))
		}
		return nil, io.EOF
	}
}

// cut removes complete events from the buffer and returns them.
func (evr *eventReader) cut(end int) ([]byte, error) {
	events, rest := evr.buffer.data[:end:end], evr.buffer.data[end:]
	evr.buffer.release()
	evr.scanned = 0
	if err := evr.buffer.append(rest); err != nil {
		return nil, err
	}
	evr.idle += end
	if bytes.Contains(events, []byte(eventIDField)) {
		evr.idle = 0
	}
	if evr.idle > maxIdleBytes {
		return nil, errNoEvents
	}
	return events, nil
}

// eventsEnd returns the length of the complete events at the start of the buffer.
func (evr *eventReader) eventsEnd() int {
	data, end := evr.buffer.data, 0
	// A separator may have begun in the data that was searched before.
	from := max(0, evr.scanned-maxSeparatorBytes+1)
	for _, sep := range []string{"\n\n", "\r\n\r\n"} {
		if at := bytes.LastIndex(data[from:], []byte(sep)); at >= 0 {
			end = max(end, from+at+len(sep))
		}
	}
	evr.scanned = len(data)
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
