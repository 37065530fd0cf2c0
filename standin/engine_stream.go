package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

func (eng *Engine) handleAttach(wri http.ResponseWriter, req *http.Request) {
	from, err := strconv.Atoi(req.URL.Query().Get("from"))
	if err != nil || from < 0 {
		eng.refuse(wri, http.StatusBadRequest, "badRequest")
		return
	}
	eng.stream(wri, req, req.PathValue("id"), from, "")
}

// handleList returns the prompts of all running and retained generations by id.
func (eng *Engine) handleList(wri http.ResponseWriter, _ *http.Request) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	prompts := map[string]string{}
	for id, gen := range eng.generations {
		prompts[id] = gen.promptText
	}
	writeJSON(wri, http.StatusOK, prompts)
}

// countFailedStart reports whether FailStart is set, and counts the refused start if so.
func (eng *Engine) countFailedStart(prompt string) bool {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	if eng.faults.FailStart {
		eng.failedStarts[prompt]++
	}
	return eng.faults.FailStart
}

// handleFailed returns how many starts FailStart refused, by prompt.
func (eng *Engine) handleFailed(wri http.ResponseWriter, _ *http.Request) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	writeJSON(wri, http.StatusOK, eng.failedStarts)
}

// addReader adds a reader to a generation and returns it with the current silenced channel; if the generation cannot
// be read from that index on, it returns an error code.
func (eng *Engine) addReader(id string, from int) (gen *engineGeneration, silenced chan struct{}, code string) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	gen, ok := eng.generations[id]
	switch {
	case !ok || gen.cancelled:
		return nil, nil, "unknownGeneration"
	case from > len(gen.tokens):
		return nil, nil, "beyondEnd"
	}
	gen.readers++
	return gen, eng.silenced, ""
}

func (eng *Engine) removeReader(gen *engineGeneration) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	gen.readers--
	gen.readerlessSince = time.Now()
}

var streamStatus = map[string]int{
	"unknownGeneration": http.StatusNotFound,
	"beyondEnd":         http.StatusRequestedRangeNotSatisfiable,
}

// stream sends a generation's events from a token index on until the generation ends or the reader disconnects. While
// no token is due, it sends load reports as keep-alive events.
func (eng *Engine) stream(wri http.ResponseWriter, req *http.Request, id string, from int, garble string) {
	gen, silenced, code := eng.addReader(id, from)
	if code != "" {
		eng.refuse(wri, streamStatus[code], code)
		return
	}
	defer eng.removeReader(gen)
	eng.setLoad(wri)
	wri.Header().Set("Content-Type", "text/event-stream")
	wri.WriteHeader(http.StatusOK)
	ctl := http.NewResponseController(wri)
	keepalive := time.NewTicker(keepAliveInterval)
	defer keepalive.Stop()
	for {
		eng.mutex.Lock()
		tokens, total, cancelled, changed := gen.tokens[min(from, len(gen.tokens)):], gen.total, gen.cancelled, gen.changed
		eng.mutex.Unlock()
		for _, text := range tokens {
			writeToken(wri, id, from, text, garble)
			from++
		}
		if cancelled {
			return
		}
		if from >= total {
			_, _ = fmt.Fprintf(wri, "event: done\ndata: {\"generation\":%q,\"tokens\":%d}\n\n", id, total)
			return
		}
		if err := ctl.Flush(); err != nil {
			return
		}
		select {
		case <-changed:
		case <-keepalive.C:
			_, _ = fmt.Fprintf(wri, "event: load\ndata: %s\n\n", eng.loadReport())
		case <-silenced:
			<-req.Context().Done()
			return
		case <-req.Context().Done():
			return
		}
	}
}

// garbleIndex is the index of the token that EngineFaults.Garble corrupts.
const garbleIndex = 3

func writeToken(wri http.ResponseWriter, id string, index int, text, garble string) {
	const format = "data: {\"generation\":%q,\"index\":%d,\"text\":%q}\n\n"
	if index == garbleIndex {
		switch garble {
		case "duplicate":
			_, _ = fmt.Fprintf(wri, format, id, index-1, "twice")
		case "gap":
			return
		case "foreign":
			id, text = "another-generation", "foreign"
		}
	}
	_, _ = fmt.Fprintf(wri, format, id, index, text)
}

// handleCancel cancels a generation. With the parameter unreadFor it refuses unless the generation has had no reader
// for that time.
func (eng *Engine) handleCancel(wri http.ResponseWriter, req *http.Request) {
	unreadFor, _ := time.ParseDuration(req.URL.Query().Get("unreadFor"))
	eng.mutex.Lock()
	gen, ok := eng.generations[req.PathValue("id")]
	if ok && unreadFor > 0 && gen.doneAt.IsZero() && (gen.readers > 0 || time.Since(gen.readerlessSince) < unreadFor) {
		eng.mutex.Unlock()
		eng.refuse(wri, http.StatusConflict, "attached")
		return
	}
	if ok && gen.doneAt.IsZero() {
		eng.cancel(time.Now(), gen)
	}
	eng.mutex.Unlock()
	eng.writeLoad(wri)
}

// cancelReaderless cancels the generations that have had no reader for the time-out given at their start.
func (eng *Engine) cancelReaderless(now time.Time) {
	for _, gen := range eng.generations {
		if gen.readerlessTimeout > 0 && gen.readers == 0 && gen.doneAt.IsZero() && now.Sub(gen.readerlessSince) >= gen.readerlessTimeout {
			eng.cancel(now, gen)
		}
	}
}

func (eng *Engine) cancel(now time.Time, gen *engineGeneration) {
	gen.cancelled = true
	gen.doneAt = now
	eng.cancelled++
	gen.notify()
}
