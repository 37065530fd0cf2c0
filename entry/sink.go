package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/endpoint"
	"papayacroft/position"
	"papayacroft/routing"
)

// keepaliveInterval is the time without an event after which a keepalive comment is sent.
const keepaliveInterval = 5 * time.Second

// sink delivers an answer to a caller.
type sink interface {
	// begin is called for each generation before its first token.
	begin(gen *generation, cal *call) error
	// token delivers a token, which may stay buffered until the next call of flush.
	token(evt endpoint.Event) error
	flush() error
	done(tokens int)
	// fail reports a refusal and returns false if the answer has not begun.
	fail(ref *Refusal) bool
	// restartable reports whether the tokens delivered so far can be discarded.
	restartable() bool
	// restart discards the tokens delivered so far.
	restart()
	// reattach asks the caller to resume through another daemon. It returns a refusal to send if nothing was written
	// yet, and false if the answer can't be handed over.
	reattach() (*Refusal, bool)
	// close stops the sink's background goroutines.
	close()
	// resumable reports whether the caller can resume the answer after it disconnected.
	resumable() bool
}

// wholeSink collects a non-streamed answer and sends it as one JSON response.
type wholeSink struct {
	writer http.ResponseWriter
	server *Server
	model  string
	id     string
	// resumed is true if the caller already has a position of the generation.
	resumed bool
	signed  string
	text    strings.Builder
}

func newWholeSink(wri http.ResponseWriter, srv *Server, gen *generation) *wholeSink {
	return &wholeSink{writer: wri, server: srv, model: gen.model, resumed: gen.resumed}
}

func (snk *wholeSink) begin(gen *generation, cal *call) error {
	snk.server.sessions.unschedule(gen.id)
	snk.id = gen.id
	stm := gen.position(cal.team)
	// A daemon that takes over collects the answer in memory as well and needs the same bound.
	stm.MaxTokens = gen.maxTokens
	var err error
	snk.signed, err = snk.server.Signer.SerializeStream(stm)
	return trace.Wrap(err)
}

func (snk *wholeSink) token(evt endpoint.Event) error {
	snk.text.WriteString(evt.Text)
	return nil
}

func (snk *wholeSink) flush() error {
	return nil
}

func (snk *wholeSink) done(tokens int) {
	snk.writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(snk.writer).Encode(CompletionResponse{ID: snk.id, Model: snk.model, Text: snk.text.String(), Tokens: tokens})
}

func (snk *wholeSink) fail(*Refusal) bool {
	return false
}

func (snk *wholeSink) restartable() bool {
	return true
}

func (snk *wholeSink) restart() {
	snk.text.Reset()
}

// reattach redirects the caller to another daemon, which can send the whole answer because nothing was written yet.
func (snk *wholeSink) reattach() (*Refusal, bool) {
	if snk.signed == "" {
		return nil, false
	}
	ref := unknown(routing.CodeDraining, "this entry daemon is shutting down; another one gives the whole answer at the location")
	return ref.handedOver(position.Serialize(snk.signed, -1)), true
}

func (snk *wholeSink) close() {}

func (snk *wholeSink) resumable() bool {
	return snk.resumed
}

// streamSink sends server-sent events.
type streamSink struct {
	writer       http.ResponseWriter
	control      *http.ResponseController
	server       *Server
	call         *call
	allowRestart bool
	signed       string
	started      bool
	delivered    bool

	// mutex guards the writer, which the keepalive goroutine uses as well.
	mutex sync.Mutex
	// unsent is true while a token may be buffered.
	unsent          bool
	keepaliveTicker *time.Ticker
	keepaliveDone   sync.WaitGroup
	closed          chan struct{}
}

func newStreamSink(wri http.ResponseWriter, srv *Server, cal *call, allowRestart bool) *streamSink {
	return &streamSink{writer: wri, control: http.NewResponseController(wri), server: srv, call: cal, allowRestart: allowRestart, closed: make(chan struct{})}
}

func (snk *streamSink) begin(gen *generation, cal *call) error {
	snk.server.sessions.unschedule(gen.id)
	signed, err := snk.server.Signer.SerializeStream(gen.position(cal.team))
	if err != nil {
		return trace.Wrap(err)
	}
	snk.signed = signed
	if snk.started {
		return snk.sendPosition(gen)
	}
	snk.started = true
	snk.keepaliveTicker = time.NewTicker(keepaliveInterval)
	snk.writer.Header().Set("Content-Type", "text/event-stream")
	snk.writer.Header().Set("Cache-Control", "no-store")
	snk.writer.WriteHeader(http.StatusOK)
	snk.keepaliveDone.Go(snk.sendKeepalives)
	return snk.sendPosition(gen)
}

// sendPosition sends the generation's position before the first token, so that a caller that has no token yet can
// resume.
func (snk *streamSink) sendPosition(gen *generation) error {
	return snk.write("id: %s\n\n", position.Serialize(snk.signed, gen.next-1))
}

func (snk *streamSink) token(evt endpoint.Event) error {
	data, err := json.Marshal(struct {
		Index int    `json:"index"`
		Text  string `json:"text"`
	}{evt.Index, evt.Text})
	if err != nil {
		return trace.Wrap(err)
	}
	snk.delivered = true
	snk.mutex.Lock()
	defer snk.mutex.Unlock()
	snk.unsent = true
	return snk.print("id: %s\ndata: %s\n\n", position.Serialize(snk.signed, evt.Index), data)
}

// flush sends the tokens that are still buffered.
func (snk *streamSink) flush() error {
	snk.mutex.Lock()
	defer snk.mutex.Unlock()
	if !snk.unsent {
		return nil
	}
	return snk.flushBuffer()
}

func (snk *streamSink) done(tokens int) {
	_ = snk.write("event: done\ndata: {\"tokens\":%d}\n\n", tokens)
}

func (snk *streamSink) fail(ref *Refusal) bool {
	if !snk.started {
		return false
	}
	data, err := json.Marshal(ref)
	if err != nil {
		return true
	}
	snk.call.logger.WithField("code", ref.Code).Info("stream ended with an error")
	_ = snk.write("event: error\ndata: %s\n\n", data)
	return true
}

func (snk *streamSink) restartable() bool {
	return !snk.delivered || snk.allowRestart
}

func (snk *streamSink) restart() {
	if !snk.delivered {
		return
	}
	snk.delivered = false
	_ = snk.write("event: restart\ndata: {}\n\n")
}

func (snk *streamSink) reattach() (*Refusal, bool) {
	if !snk.started {
		return nil, false
	}
	_ = snk.write("event: reattach\ndata: {}\n\n")
	return nil, true
}

// sendKeepalives sends a comment whenever no event was sent for keepaliveInterval, to keep the connection alive.
func (snk *streamSink) sendKeepalives() {
	for {
		select {
		case <-snk.keepaliveTicker.C:
		case <-snk.closed:
			return
		}
		if snk.write(": keepalive\n\n") != nil {
			return
		}
	}
}

func (snk *streamSink) close() {
	if !snk.started {
		return
	}
	close(snk.closed)
	// The handler must not return while the keepalive goroutine writes.
	snk.keepaliveDone.Wait()
	snk.keepaliveTicker.Stop()
}

func (snk *streamSink) resumable() bool {
	return true
}

// write sends an event at once.
func (snk *streamSink) write(format string, args ...any) error {
	snk.mutex.Lock()
	defer snk.mutex.Unlock()
	if err := snk.print(format, args...); err != nil {
		return err
	}
	return snk.flushBuffer()
}

// print writes an event into the response's buffer, which is sent when it is full; the caller holds the mutex. The
// connection limits the time of each write (intake.readerStall); a slower reader is disconnected and may resume.
func (snk *streamSink) print(format string, args ...any) error {
	snk.keepaliveTicker.Reset(keepaliveInterval)
	_, err := fmt.Fprintf(snk.writer, format, args...)
	return trace.Wrap(err)
}

// flushBuffer sends the response's buffer; the caller holds the mutex.
func (snk *streamSink) flushBuffer() error {
	snk.unsent = false
	return trace.Wrap(snk.control.Flush())
}
