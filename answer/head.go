// Package answer reads the heads of HTTP/1.1 answers and rejects those that RFC 9110 and RFC 9112 do not allow. net/http
// checks less: it takes numbers for a status that HTTP does not define, and names of fields that have blanks.
// Its connections do not let an answer that a failure has cut off look complete.
package answer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	// minFinalStatus is the lowest status of a final answer, maxStatus the highest of all (RFC 9110, section 15).
	minFinalStatus = 200
	maxStatus      = 599

	legacyVersion = "HTTP/1.0"
)

// ErrHead is the error of an answer whose head is not valid. Neither its status, nor the length of its body, nor a statement
// that the request has not run can be relied on.
var ErrHead = errors.New("the head of the answer is not valid")

// ReadFinal reads the head of the final answer to a request, and skips interim ones. It returns an error that wraps ErrHead, or
// one of net/http or of the reader.
func ReadFinal(rdr *bufio.Reader, req *http.Request) (*http.Response, error) {
	for {
		var isLegacy bool
		rdr, isLegacy = upgrade(rdr)
		res, err := http.ReadResponse(rdr, req)
		if err != nil {
			return nil, err
		}
		if isLegacy && (len(res.TransferEncoding) > 0 || isInterim(res.StatusCode)) {
			return nil, fmt.Errorf("%w: status %d, transfer coding %q in %s", ErrHead, res.StatusCode, res.TransferEncoding, legacyVersion)
		}
		if isInterim(res.StatusCode) {
			if err := check(res); err != nil {
				return nil, err
			}
			continue
		}
		if err := checkFinal(res); err != nil {
			return nil, err
		}
		return res, nil
	}
}

// upgrade makes an answer of HTTP/1.0, which has neither transfer codings (RFC 9112, section 6.1) nor interim answers, look like
// one of HTTP/1.1, which is read alike otherwise: http.ReadResponse drops the coding of HTTP/1.0.
func upgrade(rdr *bufio.Reader) (upgraded *bufio.Reader, isLegacy bool) {
	// An error is left to http.ReadResponse, which reads again.
	if start, _ := rdr.Peek(len(legacyVersion)); string(start) != legacyVersion {
		return rdr, false
	}
	_, _ = rdr.Discard(len(legacyVersion))
	return bufio.NewReader(io.MultiReader(strings.NewReader("HTTP/1.1"), rdr)), true
}

// isInterim reports whether another answer follows one with this status.
func isInterim(status int) bool {
	return status/100 == 1 && status != http.StatusSwitchingProtocols
}

// IsFinal reports whether HTTP defines a status for final answers.
func IsFinal(status int) bool {
	return status >= minFinalStatus && status <= maxStatus
}

// checkFinal returns an error that wraps ErrHead if the head of a final answer is not valid. Status 101 is not, as no request
// asks for another protocol.
func checkFinal(res *http.Response) error {
	if !IsFinal(res.StatusCode) {
		return fmt.Errorf("%w: status %.3q", ErrHead, res.Status)
	}
	return check(res)
}

// check returns an error that wraps ErrHead if the head of an answer is not valid, whatever its status. The major version must be
// that of HTTP/1.1, as another one may have another syntax, and the name of each field a token (RFC 9110, sections 2.5 and 5.1): a
// field that frames the body, such as "Content-Length : 5", has no effect in net/http otherwise.
func check(res *http.Response) error {
	if res.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %q", ErrHead, res.Proto)
	}
	// The bytes that a reason phrase may have are those of a field's value (RFC 9112, section 4).
	if !httpguts.ValidHeaderFieldValue(res.Status) {
		return fmt.Errorf("%w: status %.40q", ErrHead, res.Status)
	}
	for name := range res.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %.40q", ErrHead, name)
		}
	}
	return nil
}
