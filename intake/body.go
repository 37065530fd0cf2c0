package intake

import (
	"context"
	"errors"
	"io"
	"net/http"
)

const (
	// firstBodyBytes is the first buffer for a body.
	firstBodyBytes = 16 << 10
	// unknownBodyBytes is the first buffer for a body without a length.
	unknownBodyBytes = 4 << 10
)

// ReadBody reads the whole body of a request. The memory is reserved before it is read and released when the request
// ends. The error is ErrBodySize, ErrMemory, ErrBodyTime, or that of the connection.
func ReadBody(req *http.Request, limit int64) ([]byte, error) {
	if req.ContentLength > limit {
		return nil, noteBody(req, ErrBodySize)
	}
	most := limit + 1
	size := int64(unknownBodyBytes)
	if req.ContentLength >= 0 {
		most, size = req.ContentLength, min(req.ContentLength, firstBodyBytes)
	}
	con := connOf(req.Context())
	if err := con.reserve(size); err != nil {
		return nil, noteBody(req, err)
	}
	body := make([]byte, 0, size)
	for {
		if int64(len(body)) > limit {
			return nil, noteBody(req, ErrBodySize)
		}
		if len(body) == cap(body) && int64(len(body)) < most {
			grown := min(2*int64(cap(body)), most)
			if err := con.reserve(grown); err != nil {
				return nil, noteBody(req, err)
			}
			old := int64(cap(body))
			body = append(make([]byte, 0, grown), body...)
			con.unreserve(old)
		}
		if len(body) == cap(body) {
			break
		}
		count, err := req.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		if errors.Is(err, io.EOF) {
			return body, con.keep()
		}
		if err != nil {
			return nil, bodyFailure(err)
		}
	}
	// The body has its whole length; one more read ends it, so that net/http notices when the caller leaves.
	var rest [1]byte
	if _, err := req.Body.Read(rest[:]); err != nil && !errors.Is(err, io.EOF) {
		return nil, bodyFailure(err)
	}
	return body, con.keep()
}

// ReadAnswer reads an answer to a request of the context, of length bytes if that is known. The memory is reserved before
// it is read and released when the request ends. The error is ErrBodySize, ErrMemory, or that of the reader.
func ReadAnswer(ctx context.Context, reader io.Reader, length, limit int64) ([]byte, error) {
	con := connOf(ctx)
	size := int64(unknownBodyBytes)
	if length > 0 {
		size = min(length+1, firstBodyBytes)
	}
	if err := con.reserve(size); err != nil {
		return nil, err
	}
	data := make([]byte, 0, size)
	for int64(len(data)) <= limit {
		if len(data) == cap(data) {
			old, grown := int64(cap(data)), min(2*int64(cap(data)), limit+1)
			if err := con.reserve(grown); err != nil {
				return nil, err
			}
			data = append(make([]byte, 0, grown), data...)
			con.unreserve(old)
		}
		count, err := reader.Read(data[len(data):cap(data)])
		data = data[:len(data)+count]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, ErrBodySize
}

// bodyFailure turns the time-out of a connection that has no gate into the error of one that has.
func bodyFailure(err error) error {
	if isTimeout(err) {
		return ErrBodyTime
	}
	return err
}

func noteBody(req *http.Request, err error) error {
	if con := connOf(req.Context()); con != nil {
		con.gate.note(err, con)
	}
	return err
}

// reserve reserves memory for the request; without a connection it does nothing.
func (con *Conn) reserve(bytes int64) error {
	if con == nil {
		return nil
	}
	return con.gate.take(&con.holder, bytes)
}

func (con *Conn) unreserve(bytes int64) {
	if con != nil {
		con.gate.release(&con.holder, bytes)
	}
}

// keep marks the request as read whole. It returns ErrMemory if the request was dropped meanwhile.
func (con *Conn) keep() error {
	if con == nil {
		return nil
	}
	con.gate.mutex.Lock()
	defer con.gate.mutex.Unlock()
	if !con.gate.budget.Keep(&con.holder) {
		return ErrMemory
	}
	return nil
}
