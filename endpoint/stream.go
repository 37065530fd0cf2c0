package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"iter"
	"time"

	"github.com/tmaxmax/go-sse"
)

// maxEventBytes limits the memory that the daemon uses for one event.
const maxEventBytes = 16 << 10

// loadEvent is the type of the events that carry load reports.
const loadEvent = "load"

// Event is one event of a generation: a token, or its end.
type Event struct {
	Generation string `json:"generation"`
	Index      int    `json:"index"`
	Text       string `json:"text"`
	Done       bool   `json:"-"`
	Tokens     int    `json:"tokens"`
}

// Stream returns the events of one generation in order and without duplicates.
type Stream struct {
	target     Target
	generation string
	next       int
	body       io.ReadCloser
	watchdog   *time.Timer
	cancel     context.CancelFunc
	reader     *watchedReader
	pull       func() (sse.Event, error, bool)
	stop       func()
	// onLoad, if set, receives the load reports that the engine sends between tokens.
	onLoad func(endpoint string, lod Load)
}

func newStream(body io.ReadCloser, tgt Target, generation string, from int, silence time.Duration, watchdog *time.Timer, cancel context.CancelFunc) *Stream {
	stm := &Stream{target: tgt, generation: generation, next: from, body: body, watchdog: watchdog, cancel: cancel}
	stm.reader = &watchedReader{body: body, watchdog: watchdog, silence: silence}
	stm.pull, stm.stop = iter.Pull2(iter.Seq2[sse.Event, error](sse.Read(stm.reader, &sse.ReadConfig{MaxEventSize: maxEventBytes})))
	return stm
}

// BeforeRead sets a function that Next calls when no further event is buffered, before it waits for data from the engine.
// An error of the function ends the stream.
func (stm *Stream) BeforeRead(call func() error) {
	stm.reader.before = call
}

// Next returns the next event, dropping duplicates.
// An event of another generation or a gap in the indexes is an error of reason mismatch.
func (stm *Stream) Next() (Event, error) {
	for {
		raw, err, ok := stm.pull()
		if err != nil || !ok {
			return Event{}, stm.readError(err)
		}
		if raw.Type == loadEvent {
			stm.reportLoad(raw.Data)
			continue
		}
		evt, err := parseEvent(raw)
		if err != nil {
			return Event{}, stm.mismatch(err)
		}
		if evt.Generation != stm.generation {
			return Event{}, stm.mismatch(fmt.Errorf("event of generation %q on the stream of %q", evt.Generation, stm.generation))
		}
		if evt.Done {
			if evt.Tokens != stm.next {
				return Event{}, stm.mismatch(fmt.Errorf("end after %d tokens at index %d", evt.Tokens, stm.next))
			}
			return evt, nil
		}
		if evt.Index < stm.next {
			continue
		}
		if evt.Index > stm.next {
			return Event{}, stm.mismatch(fmt.Errorf("index %d where %d is next", evt.Index, stm.next))
		}
		stm.next++
		return evt, nil
	}
}

// reportLoad passes a load report to onLoad. It ignores an invalid one, since the engine sends reports repeatedly.
func (stm *Stream) reportLoad(data string) {
	var lod Load
	if err := json.Unmarshal([]byte(data), &lod); err == nil && stm.onLoad != nil {
		stm.onLoad(stm.target.Name, lod)
	}
}

// Interrupt makes a pending Next return an error; it may be called from any goroutine.
func (stm *Stream) Interrupt() {
	stm.cancel()
}

// Close closes the connection; the generation keeps running at the engine.
func (stm *Stream) Close() {
	stm.watchdog.Stop()
	stm.cancel()
	stm.stop()
	_ = stm.body.Close()
}

func (stm *Stream) readError(err error) error {
	reason := ReasonBroken
	if errors.Is(err, context.Canceled) {
		reason = ReasonSilent
	}
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return &Error{Endpoint: stm.target.Name, Reason: reason, Begun: MayHaveBegun, Err: err}
}

func (stm *Stream) mismatch(err error) error {
	return &Error{Endpoint: stm.target.Name, Reason: ReasonMismatch, Begun: MayHaveBegun, Err: err}
}

func parseEvent(raw sse.Event) (Event, error) {
	var evt Event
	if err := json.Unmarshal([]byte(raw.Data), &evt); err != nil {
		return Event{}, fmt.Errorf("event is not valid: %w", err)
	}
	switch raw.Type {
	case "":
	case "done":
		evt.Done = true
	default:
		return Event{}, fmt.Errorf("event type %q is not known", raw.Type)
	}
	return evt, nil
}

// watchedReader interrupts a read that returns nothing within the silence time-out; the comments of a stream count as data.
// The watchdog timer is stopped between reads, so that a slow caller does not make the engine's connection time out.
type watchedReader struct {
	body     io.Reader
	watchdog *time.Timer
	silence  time.Duration
	// before, if set, is called before each read; its error ends the read.
	before func() error
}

// Read reads from the body while the watchdog timer runs.
func (wrd *watchedReader) Read(buf []byte) (int, error) {
	if wrd.before != nil {
		if err := wrd.before(); err != nil {
			return 0, err
		}
	}
	wrd.watchdog.Reset(wrd.silence)
	defer wrd.watchdog.Stop()
	return wrd.body.Read(buf)
}
