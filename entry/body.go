package entry

import (
	"errors"
	"net/http"

	"papayacroft/intake"
	"papayacroft/routing"
)

// readBody reads the whole body of a request, within bodyTimeout.
func (srv *Server) readBody(wri http.ResponseWriter, req *http.Request) ([]byte, *Refusal) {
	var body []byte
	var readErr error
	err := withBodyDeadline(wri, srv.Now(), func() { body, readErr = intake.ReadBody(req, MaxBodyBytes) })
	switch {
	case errors.Is(readErr, intake.ErrBodySize):
		return nil, notRun(routing.CodeTooLarge, "request body is larger than %d bytes", MaxBodyBytes)
	case readErr != nil:
		// What is left of the body would have to be read before the next request.
		wri.Header().Set("Connection", "close")
		code := routing.CodeBadRequest
		if errors.Is(readErr, intake.ErrMemory) {
			code = routing.CodeOverloaded
		}
		return nil, notRun(code, "request body could not be read: %v", readErr)
	case err != nil:
		return nil, notRun(routing.CodeBadRequest, "request body could not be read in time: %v", err)
	}
	return body, nil
}
