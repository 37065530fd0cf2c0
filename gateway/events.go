package gateway

import (
	"bytes"
	"errors"
	"io"
	"mime"
	"net/http"
)

const (
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 1 << 20
	// maxIdleBytes limits what a stream may have between two events with an id, such as comments.
	maxIdleBytes = 64 << 10
	eventIDField = "id:"
	// eventMedia is the media type of a stream of events.
	eventMedia = "text/event-stream"
	// maxSeparatorBytes is the size of the longest of separators.
	maxSeparatorBytes = 3
)

// separators are the ways in which a blank line can follow a line: lines end with LF, CR or CRLF.
var separators = []string{"\n\n", "\n\r\n", "\r\r"}

// eventReader reads a stream of server-sent events in units of complete events, unmodified.
type eventReader struct {
	body io.Reader
	// framed is true if the answer has a content length or is chunked, so that a regular end shows that it was sent whole.
	framed bool
	// media is the media type of the answer. If it is not eventMedia, the data of a framed answer need not end with an event.
	media string
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
	return &eventReader{body: res.Body, framed: isFramed(res), media: mediaType(res.Header), buffer: buffer{pool: pool}, chunk: make([]byte, readBufferBytes)}
}

// isFramed reports whether an answer has a content length or is chunked; otherwise it ends with its connection.
func isFramed(res *http.Response) bool {
	return res.ContentLength >= 0 || len(res.TransferEncoding) > 0
}

// mediaType returns the media type in the headers of an answer without parameters; empty if it is missing or invalid.
func mediaType(hdr http.Header) string {
	media, _, err := mime.ParseMediaType(hdr.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return media
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
			return evr.cutEvents(end)
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
			return evr.cutEvents(end)
		}
		switch {
		case !errors.Is(err, io.EOF):
			return nil, err
		case evr.hasBrokenOff():
			return nil, io.ErrUnexpectedEOF
		case len(evr.buffer.data) > 0:
			return evr.cut(len(evr.buffer.data))
		}
		return nil, io.EOF
	}
}

// hasBrokenOff reports whether an answer that has ended without an error is incomplete all the same.
func (evr *eventReader) hasBrokenOff() bool {
	rest := evr.buffer.data
	if !evr.framed && !evr.begun {
		return true
	}
	if evr.media != eventMedia {
		return !evr.framed && len(rest) > 0
	}
	return isInEvent(rest)
}

// isInEvent reports whether the data after the last separator begins an event or ends inside a line. Blank lines and
// comments are no part of an event.
func isInEvent(rest []byte) bool {
	for len(rest) > 0 {
		end := bytes.IndexAny(rest, "\r\n")
		if end < 0 || end > 0 && rest[0] != ':' {
			return true
		}
		rest = rest[end+1:]
	}
	return false
}

// cutEvents removes complete events from the buffer and returns them. It returns an error if the first of them is none.
func (evr *eventReader) cutEvents(end int) ([]byte, error) {
	if evr.media == eventMedia {
		if end = lengthOfEvents(evr.buffer.data[:end]); end == 0 {
			return nil, errNotEvents
		}
	}
	return evr.cut(end)
}

// lengthOfEvents returns the length of the data before the first block that is no event. An endpoint that breaks off a stream
// may send other bytes on its connection, such as an error's head and text.
func lengthOfEvents(data []byte) int {
	length, at := 0, 0
	isEvent, isEmpty := false, true
	for at < len(data) {
		line, size := cutLine(data[at:])
		at += size
		switch {
		case bytes.HasPrefix(line, []byte("HTTP/")):
			return length
		case len(line) > 0:
			isEmpty, isEvent = false, isEvent || isField(line)
		case !isEvent && !isEmpty:
			return length
		default:
			length, isEvent, isEmpty = at, false, true
		}
	}
	return length
}

// cutLine returns the first line of data and its size with the line's end.
func cutLine(data []byte) (line []byte, size int) {
	end := bytes.IndexAny(data, "\r\n")
	switch {
	case end < 0:
		return data, len(data)
	case bytes.HasPrefix(data[end:], []byte("\r\n")):
		return data[:end], end + 2
	}
	return data[:end], end + 1
}

// isField reports whether a line of a stream is a comment or has the form of a field.
func isField(line []byte) bool {
	name, _, _ := bytes.Cut(bytes.TrimPrefix(line, []byte("\ufeff")), []byte(":"))
	return !bytes.ContainsFunc(name, func(char rune) bool {
		return (char < 'a' || char > 'z') && (char < 'A' || char > 'Z') && (char < '0' || char > '9') && char != '-' && char != '_'
	})
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
	for _, sep := range separators {
		if at := bytes.LastIndex(data[from:], []byte(sep)); at >= 0 {
			end = max(end, from+at+len(sep))
		}
	}
	evr.scanned = len(data)
	return end
}

// lastEventID returns the id of the last event that has an id, and the number of events with ids.
func lastEventID(events []byte) (id string, count int) {
	for line := range bytes.FieldsFuncSeq(events, func(char rune) bool { return char == '\n' || char == '\r' }) {
		if value, ok := bytes.CutPrefix(line, []byte(eventIDField)); ok {
			id = string(bytes.TrimSpace(value))
			count++
		}
	}
	return id, count
}
