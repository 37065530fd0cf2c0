package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// EngineMode selects how an endpoint answers requests.
type EngineMode string

// The modes of an endpoint.
const (
	// EngineServes runs each request and answers it.
	EngineServes EngineMode = ""
	// EngineRefuses refuses each request with status 503 and the header Not-Executed.
	EngineRefuses EngineMode = "sheds"
	// EngineRepeatsRefusal runs each request and answers with an earlier refusal, which has the id of another request.
	EngineRepeatsRefusal EngineMode = "repeatsRefusal"
	// EngineUnstatedRefusal runs each request and answers with status 503, but without the header Not-Executed.
	EngineUnstatedRefusal EngineMode = "unstatedRefusal"
	// EngineFails runs each request and answers with status 500.
	EngineFails EngineMode = "fails"
	// EngineFailsShort does so and closes the connection in the middle of the response.
	EngineFailsShort EngineMode = "failsShort"
	// EngineCuts runs each request and closes the connection in the middle of the response.
	EngineCuts EngineMode = "cuts"
	// EngineStopsInEvent runs each request and ends a stream inside an event, with the regular end of the response.
	EngineStopsInEvent EngineMode = "stopsInEvent"
	// EngineErrorInStream runs each request, breaks off a stream that ends with its connection, and sends the head and the
	// text of an error there.
	EngineErrorInStream EngineMode = "errorInStream"
	// EngineAnswersText runs each request and answers with status 200 and a text in place of a stream.
	EngineAnswersText EngineMode = "answersText"
	// EngineHangs runs each request and never answers.
	EngineHangs EngineMode = "hangs"
	// EngineWrongAttemptID answers with the attempt id of another request.
	EngineWrongAttemptID EngineMode = "foreign"
	// EngineCrashes stops the endpoint when it runs a request.
	EngineCrashes EngineMode = "crashes"
	// EngineUnframed sends answers that have neither a length nor chunks and end with their connection.
	EngineUnframed EngineMode = "unframed"
	// EngineUnframedCuts does so and closes the connection inside an event, EngineUnframedEmpty before the first one.
	EngineUnframedCuts  EngineMode = "unframedCuts"
	EngineUnframedEmpty EngineMode = "unframedEmpty"
	// EngineInvalidStatus runs each request and answers with status 000, EngineInvalidField with a blank in the name of a field.
	EngineInvalidStatus EngineMode = "invalidStatus"
	EngineInvalidField  EngineMode = "invalidField"
	// EngineUnsigned answers without a response signature.
	EngineUnsigned EngineMode = "unsigned"
)

// SiteRun is one run of a request at an endpoint.
type SiteRun struct {
	CallID string
	// At is when the run began.
	At           time.Time
	Organisation string
	// Authorized is true if the request had an Authorization header.
	Authorized bool
	// Copied is true if the run continues from a copy of another run's memory.
	Copied bool
	// Deadline is the request's Deadline-Ms header, in milliseconds.
	Deadline int
	Body     string
	// CallerDisconnected is true if the caller closed the connection before the response was complete.
	CallerDisconnected bool
}

// SiteEngine stands in for an endpoint on the users' machines. It answers plain calls and runs generations, which can
// be moved to other endpoints of its site.
type SiteEngine struct {
	ID string
	// Born is the start time in Unix ms that the endpoint states in its report.
	Born int64
	// Interval is the time between two events of a stream.
	Interval time.Duration
	// CopyTime is how long it takes to copy a generation's memory, except for the last copy, which takes no time.
	CopyTime time.Duration
	// Crash stops the endpoint.
	Crash func()
	// Site holds the engines to which generations can be moved.
	Site *SiteEngines

	mutex   sync.Mutex
	mode    EngineMode
	leaving bool
	runs    []*SiteRun
	// refused are the times at which requests were refused.
	refused []time.Time
	// active holds the open streams by attempt id.
	active map[string]*siteGeneration
	// copies holds, by handle, the number of events that a copied generation had produced.
	copies map[string]int
	// handleCount numbers the handles of copies.
	handleCount  int
	refuseCopies bool
	// rateLimit is the value of the header Server-Limit in answers; empty means that they have none.
	rateLimit string
	// statedLoad is the value of the header Server-Load in answers; empty means that they have none.
	statedLoad string
	// coldUntil is the time until which answers have the header Cold-Ms; the zero time if they never had.
	coldUntil time.Time
	// pauseFor is the value of Retry-After in refusals; empty if they have none.
	pauseFor string
	// saysLeaving is true if all answers have the header Server-Leaving.
	saysLeaving bool
}

// siteGeneration is a stream that is being sent.
type siteGeneration struct {
	// made is the number of events produced so far, those before a move included.
	made    int
	stopped chan struct{}
	once    sync.Once
}

// NewSiteEngine returns an endpoint without runs, alone on its site.
func NewSiteEngine(id string) *SiteEngine {
	return &SiteEngine{
		ID: id, Interval: 5 * time.Millisecond, Site: NewSiteEngines(),
		active: map[string]*siteGeneration{}, copies: map[string]int{},
	}
}

// SetMode changes how further requests are answered.
func (sen *SiteEngine) SetMode(mode EngineMode) {
	sen.mutex.Lock()
	defer sen.mutex.Unlock()
	sen.mode = mode
}

// SetDraining makes the endpoint report the state "draining" with the time until it leaves.
func (sen *SiteEngine) SetDraining() {
	sen.mutex.Lock()
	defer sen.mutex.Unlock()
	sen.leaving = true
}

// SetSaysLeaving makes the engine say in all its answers that it leaves.
func (sen *SiteEngine) SetSaysLeaving() {
	sen.mutex.Lock()
	defer sen.mutex.Unlock()
	sen.saysLeaving = true
}

// SetRateLimit makes the engine name a limit of requests a second in its answers; an empty limit means none.
func (sen *SiteEngine) SetRateLimit(perSecond string) {
	sen.mutex.Lock()
	defer sen.mutex.Unlock()
	sen.rateLimit = perSecond
}

// SetStatedLoad makes the engine report this load in its answers; an empty one means none.
func (sen *SiteEngine) SetStatedLoad(load string) {
	sen.mutex.Lock()
	defer sen.mutex.Unlock()
	sen.statedLoad = load
}

// SetCold makes the engine say in its answers for how long it is still cold, from now on.
func (sen *SiteEngine) SetCold(left time.Duration) {
	sen.mutex.Lock()
	defer sen.mutex.Unlock()
	sen.coldUntil = time.Now().Add(left)
}

// SetPause makes the engine's refusals ask for a pause of so many seconds; an empty text means none.
func (sen *SiteEngine) SetPause(seconds string) {
	sen.mutex.Lock()
	defer sen.mutex.Unlock()
	sen.pauseFor = seconds
}

// RefuseCopies makes the engine refuse copies of generations with status 503, as if its memory were full.
func (sen *SiteEngine) RefuseCopies() {
	sen.mutex.Lock()
	defer sen.mutex.Unlock()
	sen.refuseCopies = true
}

// Stop aborts the streams of all generations.
func (sen *SiteEngine) Stop() {
	sen.mutex.Lock()
	defer sen.mutex.Unlock()
	for _, gen := range sen.active {
		gen.stop()
	}
}

// Runs returns all runs so far, in the sequence of their start.
func (sen *SiteEngine) Runs() []SiteRun {
	sen.mutex.Lock()
	defer sen.mutex.Unlock()
	runs := make([]SiteRun, 0, len(sen.runs))
	for _, one := range sen.runs {
		runs = append(runs, *one)
	}
	return runs
}

func (gen *siteGeneration) stop() {
	gen.once.Do(func() { close(gen.stopped) })
}

// ServeHTTP answers callers' requests and the control calls under /-/.
func (sen *SiteEngine) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	if handle, ok := strings.CutPrefix(req.URL.Path, "/-/kv-handle/"); ok {
		sen.deleteCopy(handle)
		return
	}
	switch req.URL.Path {
	case "/-/report":
		sen.serveReport(wri)
	case "/-/kv-move":
		sen.serveMove(wri, req)
	default:
		sen.serveRequest(wri, req)
	}
}

func (sen *SiteEngine) serveReport(wri http.ResponseWriter) {
	sen.mutex.Lock()
	defer sen.mutex.Unlock()
	runs := [][]any{}
	for id, gen := range sen.active {
		runs = append(runs, []any{id, gen.made, gen.made, 1})
	}
	report := map[string]any{"state": "ready", "runs": runs, "running": len(runs), "born": sen.Born}
	if sen.leaving {
		report["state"], report["leaves_ms"] = "draining", 1500
	}
	_ = json.NewEncoder(wri).Encode(report)
}

// serveMove copies a generation's memory to another engine and returns the copy's handle. The last copy of a move also
// stops the generation here.
func (sen *SiteEngine) serveMove(wri http.ResponseWriter, req *http.Request) {
	var msg struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if err := json.NewDecoder(req.Body).Decode(&msg); err != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	sen.mutex.Lock()
	gen, ok := sen.active[msg.ID]
	sen.handleCount++
	handle := fmt.Sprintf("%s-%d", sen.ID, sen.handleCount)
	sen.mutex.Unlock()
	target := sen.Site.At(msg.To)
	if !ok {
		wri.WriteHeader(http.StatusNotFound)
		return
	}
	if msg.Last {
		gen.stop()
	}
	if target == nil || target.refusesCopies() {
		wri.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !msg.Last {
		time.Sleep(sen.CopyTime)
	}
	sen.mutex.Lock()
	made := gen.made
	sen.mutex.Unlock()
	target.mutex.Lock()
	target.copies[handle] = made
	target.mutex.Unlock()
	_ = json.NewEncoder(wri).Encode(map[string]any{"handle": handle, "createRev": made})
}

// deleteCopy deletes a copy at all endpoints of the site.
func (sen *SiteEngine) deleteCopy(handle string) {
	for _, peer := range sen.Site.All() {
		peer.mutex.Lock()
		delete(peer.copies, handle)
		peer.mutex.Unlock()
	}
}

func (sen *SiteEngine) refusesCopies() bool {
	sen.mutex.Lock()
	defer sen.mutex.Unlock()
	return sen.refuseCopies
}

// serveRequest records and answers a run. A stream starts at event 1, or after the events of the copy in Kv-From, or
// after Last-Event-Id; a request whose copy is missing is refused as not executed.
func (sen *SiteEngine) serveRequest(wri http.ResponseWriter, req *http.Request) {
	hdr := req.Header
	if expected := hdr.Get("Expect-Instance"); expected != "" && expected != sen.ID {
		wri.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	sen.mutex.Lock()
	mode := sen.mode
	from := 0
	copied := hdr.Get("Kv-From")
	if copied != "" {
		handle := copied[strings.LastIndex(copied, "/")+1:]
		made, ok := sen.copies[handle]
		delete(sen.copies, handle)
		if !ok {
			mode = EngineRefuses
		}
		from = made
	}
	if last, err := strconv.Atoi(hdr.Get("Last-Event-Id")); err == nil {
		from = last
	}
	if sen.saysLeaving {
		wri.Header().Set("Server-Leaving", "1")
	}
	sen.mutex.Unlock()
	if mode == EngineRefuses {
		sen.refuse(wri)
		return
	}
	deadline, _ := strconv.Atoi(hdr.Get("Deadline-Ms"))
	run := &SiteRun{
		CallID: hdr.Get("Attempt-Id"), At: time.Now(), Organisation: hdr.Get("Tenant"), Authorized: hdr.Get("Authorization") != "",
		Copied: copied != "", Deadline: deadline, Body: string(body),
	}
	sen.mutex.Lock()
	sen.runs = append(sen.runs, run)
	sen.mutex.Unlock()
	sen.answer(wri, req, run, mode, from)
}

// refuse answers that the request has not run, and counts it.
func (sen *SiteEngine) refuse(wri http.ResponseWriter) {
	sen.mutex.Lock()
	sen.refused = append(sen.refused, time.Now())
	pause := sen.pauseFor
	sen.mutex.Unlock()
	if pause != "" {
		wri.Header().Set("Retry-After", pause)
	}
	wri.Header().Set("Not-Executed", "1")
	wri.WriteHeader(http.StatusServiceUnavailable)
}

// Refused returns the times at which the engine refused requests.
func (sen *SiteEngine) Refused() []time.Time {
	sen.mutex.Lock()
	defer sen.mutex.Unlock()
	return slices.Clone(sen.refused)
}

func (sen *SiteEngine) answer(wri http.ResponseWriter, req *http.Request, run *SiteRun, mode EngineMode, from int) {
	hdr := wri.Header()
	hdr.Set("Attempt-Id", run.CallID)
	sen.mutex.Lock()
	if sen.rateLimit != "" {
		hdr.Set("Server-Limit", sen.rateLimit)
	}
	if sen.statedLoad != "" {
		hdr.Set("Server-Load", sen.statedLoad)
	}
	if !sen.coldUntil.IsZero() {
		hdr.Set("Cold-Ms", strconv.FormatInt(max(0, time.Until(sen.coldUntil).Milliseconds()), 10))
	}
	sen.mutex.Unlock()
	if mode == EngineWrongAttemptID {
		hdr.Set("Attempt-Id", "another")
	}
	if mode != EngineUnsigned {
		hdr.Set("Response-Signature", "signed."+sen.ID)
	}
	if dly, found := sen.Site.deadlyIn(req.Header.Get("Prompt-Prefix")); found {
		sen.answerDeadly(wri, run, dly, from)
		return
	}
	if mode == EngineCrashes {
		sen.Crash()
		panic(http.ErrAbortHandler)
	}
	if mode == EngineHangs {
		<-req.Context().Done()
		sen.markCut(run)
		return
	}
	if answerFailure(wri, mode) || answerInvalid(wri, req, run, mode, from) {
		return
	}
	if events, err := strconv.Atoi(req.URL.Query().Get("events")); err == nil {
		sen.stream(wri, req, run, mode, from, events)
		return
	}
	text := "answer of " + sen.ID + " to " + run.CallID
	if mode == EngineUnframed {
		if con, buf, err := beginUnframed(wri); err == nil {
			_, _ = io.WriteString(buf, text)
			_ = buf.Flush()
			_ = con.Close()
		}
		return
	}
	hdr.Set("Content-Length", strconv.Itoa(len(text)))
	if mode == EngineCuts {
		_, _ = io.WriteString(wri, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(wri, text)
}

// answerFailure answers a request that was run with a failure or a refusal; it returns false for modes without one.
func answerFailure(wri http.ResponseWriter, mode EngineMode) bool {
	hdr := wri.Header()
	switch mode {
	case EngineRepeatsRefusal:
		hdr.Set("Attempt-Id", "another")
		hdr.Set("Not-Executed", "1")
		wri.WriteHeader(http.StatusServiceUnavailable)
	case EngineUnstatedRefusal:
		wri.WriteHeader(http.StatusServiceUnavailable)
	case EngineAnswersText:
		hdr.Set("Content-Type", "text/plain")
		_, _ = fmt.Fprint(wri, "error: the generation failed\n\n")
	case EngineFails:
		wri.WriteHeader(http.StatusInternalServerError)
		_, _ = fmt.Fprintln(wri, "failed")
	case EngineFailsShort:
		const text = "out of memory while generating"
		hdr.Set("Content-Length", strconv.Itoa(len(text)))
		wri.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(wri, text[:len(text)/2])
		_ = http.NewResponseController(wri).Flush()
		panic(http.ErrAbortHandler)
	default:
		return false
	}
	return true
}

// answerInvalid answers a request that was run with an event and a head that is not valid; it returns false for other modes.
func answerInvalid(wri http.ResponseWriter, req *http.Request, run *SiteRun, mode EngineMode, from int) bool {
	start, field := "HTTP/1.1 200 OK", ""
	switch mode {
	case EngineInvalidStatus:
		start = "HTTP/1.1 000 OK"
	case EngineInvalidField:
		field = "X Invalid: 1\r\n"
	default:
		return false
	}
	wri.Header().Set("Content-Type", "text/event-stream")
	head := &strings.Builder{}
	_ = wri.Header().Write(head)
	AnswerRaw(wri, req, fmt.Sprintf("%s\r\n%s%s\r\nid: %d\ndata: %s\n\n", start, head, field, from+1, run.CallID))
	return true
}

func (sen *SiteEngine) markCut(run *SiteRun) {
	sen.mutex.Lock()
	defer sen.mutex.Unlock()
	run.CallerDisconnected = true
}
