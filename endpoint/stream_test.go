package endpoint

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func openStream(body io.ReadCloser, from int) *Stream {
	_, cancel := context.WithCancel(context.Background())
	return newStream(body, Target{Name: "engine-1"}, "gen", from, DefaultSilenceTimeout, time.AfterFunc(DefaultSilenceTimeout, cancel), cancel)
}

func token(index int) string {
	return fmt.Sprintf("data: {\"generation\":\"gen\",\"index\":%d,\"text\":\"t%d\"}\n\n", index, index)
}

// A slow caller must not make the connection to a healthy engine time out: the watchdog timer must not run while the
// caller handles an event.
func TestSlowReaderDoesNotTimeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		body := io.NopCloser(strings.NewReader(token(0) + token(1) + "event: done\ndata: {\"generation\":\"gen\",\"tokens\":2}\n\n"))
		stm := newStream(body, Target{}, "gen", 0, DefaultSilenceTimeout, time.AfterFunc(DefaultSilenceTimeout, cancel), cancel)
		defer stm.Close()
		for i := range 3 {
			evt, err := stm.Next()
			if err != nil || evt.Done != (i == 2) {
				t.Fatalf("got event %d %+v, %v", i, evt, err)
			}
			time.Sleep(10 * DefaultSilenceTimeout)
			if ctx.Err() != nil {
				t.Fatal("got the connection closed while the caller was slow")
			}
		}
	})
}

// A connection without data must be closed when the silence time-out has passed since the last byte, which may be part of
// a comment.
func TestSilenceTimeoutClosesStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		reader, writer := io.Pipe()
		context.AfterFunc(ctx, func() { _ = writer.CloseWithError(context.Canceled) })
		stm := newStream(reader, Target{}, "gen", 0, DefaultSilenceTimeout, time.AfterFunc(DefaultSilenceTimeout, cancel), cancel)
		defer stm.Close()
		go func() {
			_, _ = io.WriteString(writer, token(0))
			time.Sleep(2 * time.Second)
			_, _ = io.WriteString(writer, ": keepalive\n\n")
		}()
		if _, err := stm.Next(); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		_, err := stm.Next()
		if edpErr, ok := AsError(err); !ok || edpErr.Reason != ReasonSilent {
			t.Errorf("got %v; want reason silent", err)
		}
		if got, want := time.Since(began), 2*time.Second+DefaultSilenceTimeout; got != want {
			t.Errorf("got a time-out after %s; want %s", got, want)
		}
	})
}

// FuzzStream checks that no input from an engine makes a stream return an index twice or out of order, an event of
// another generation or an untyped error.
func FuzzStream(f *testing.F) {
	f.Add([]byte(token(0)+token(0)+token(1)), 0)
	f.Add([]byte(token(2)+token(4)), 2)
	f.Add([]byte("data: {\"generation\":\"other\",\"index\":0}\n\n"), 0)
	f.Add([]byte("event: done\ndata: {\"generation\":\"gen\",\"tokens\":0}\n\n"), 0)
	f.Add([]byte("event: done\ndata: {\"generation\":\"gen\",\"tokens\":9}\n\n"), 1)
	f.Add([]byte(": keepalive\n\nid: x\n\ndata: {\"generation\":\"gen\",\"index\":-1}\n\n"), 0)
	f.Add(bytes.Repeat([]byte("data: "), 20000), 0)
	f.Fuzz(func(t *testing.T, data []byte, from int) {
		from = max(0, from%1000)
		stm := openStream(io.NopCloser(bytes.NewReader(data)), from)
		defer stm.Close()
		for next := from; ; next++ {
			evt, err := stm.Next()
			if err != nil {
				var edpErr *Error
				if !errors.As(err, &edpErr) {
					t.Fatalf("got untyped error %v", err)
				}
				return
			}
			if evt.Generation != "gen" || !evt.Done && evt.Index != next || evt.Done && evt.Tokens != next {
				t.Fatalf("got %+v where %d is next", evt, next)
			}
			if evt.Done {
				return
			}
		}
	})
}
