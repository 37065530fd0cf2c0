package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// CallHalfClosed sends a request to an address on a connection of its own, closes the sending direction after a pause and reads
// the answer. With an error, status and body are what arrived before it.
func CallHalfClosed(address string, req *http.Request, pause time.Duration) (status int, body string, err error) {
	con, err := net.Dial("tcp", address)
	if err != nil {
		return 0, "", trace.ConvertSystemError(err)
	}
	defer con.Close()
	if err := req.Write(con); err != nil {
		return 0, "", trace.Wrap(err)
	}
	time.Sleep(pause)
	if err := con.(*net.TCPConn).CloseWrite(); err != nil {
		return 0, "", trace.ConvertSystemError(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(con), req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, string(data), err
}
