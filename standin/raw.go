package standin

import (
	"io"
	"net/http"
)

// AnswerRaw writes data in place of an answer, which it need not be, and closes the connection.
func AnswerRaw(wri http.ResponseWriter, data string) {
	con, _, err := http.NewResponseController(wri).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(con, data)
	_ = con.Close()
}
