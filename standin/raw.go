package standin

import (
	"io"
	"net/http"
)

// AnswerRaw reads a request, writes data in place of an answer, which it need not be, and closes the connection.
func AnswerRaw(wri http.ResponseWriter, req *http.Request, data string) {
	// Closing a connection with unread data resets it, and the caller may not get the answer.
	_, _ = io.Copy(io.Discard, req.Body)
	con, _, err := http.NewResponseController(wri).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(con, data)
	_ = con.Close()
}
