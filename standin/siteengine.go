package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// EngineMode is how an endpoint treats requests.
type EngineMode string

// The modes of an endpoint.
const (
	EngineServes EngineMode = ""
	// EngineSheds refuses each request and says that it did not run.
	EngineSheds EngineMode = "sheds"
	// EngineFails runs each request and answers 500.
	EngineFails EngineMode = "fails"
	// EngineCuts runs each request and ends the connection in the middle of its answer.
	EngineCuts EngineMode = "cuts"
	// EngineHangs runs each request and never answers.
	EngineHangs EngineMode = "hangs"
	// EngineForeign answers with the id of another request.
	EngineForeign EngineMode = "foreign"
	// EngineCrashes ends with the first request that it runs.
	EngineCrashes EngineMode = "crashes"
	// EngineUnsigned answers without a signature.
	EngineUnsigned EngineMode = "unsigned"
)

// SiteRun is one run of a request at an endpoint.
type SiteRun struct {
	CallID string
	// At is when the run began.
	At           time.Time
	Organisation string
	Authorized   bool
	// Copied is true if the run goes on from a copy of another run's memory.
	Copied   bool
	Deadline int
	Body     string
	// CutAt is true if the caller closed the connection before the end.
	Cut bool
}

// SiteEngine stands in for an endpoint of the users' machines: plain calls, and generations that can be moved.
type SiteEngine struct {
	ID string
	// Interval is the time between two events.
	Interval time.Duration
	// CopyTime is how long a copy of a generation's memory takes.
	CopyTime time.Duration
	// Crash ends the endpoint.
	Crash func()
	// Site has the engines by address.
	Site *SiteEngines

	mutex   sync.Mutex
	mode    EngineMode
	leaves  bool
	runs    []*SiteRun
	active  map[string]*siteGeneration
	copies  map[string]int
	handles int
	refuse  bool
}

// siteGeneration is a stream that is being made.
type siteGeneration struct {
	made    int
	stopped chan struct{}
	once    sync.Once
}

// NewSiteEngine returns an endpoint without runs.
func NewSiteEngine(id string) *SiteEngine {
	return &SiteEngine{
		ID: id, Interval: 5 * time.Millisecond, Site: NewSiteEngines(),
		active: map[string]*siteGeneration{}, copies: map[string]int{},
	}
}

// SetMode changes how requests are treated from now on.
func (sen *SiteEngine) SetMode(mode EngineMode) {
	sen.mutex.Lock()
	defer sen.mutex.Unlock()
	sen.mode = mode
}

// SetLeaves makes the endpoint's report say that it leaves.
func (sen *SiteEngine) SetLeaves() {
	sen.mutex.Lock()
	defer sen.mutex.Unlock()
	sen.leaves = true
}

// RefuseCopies makes the engine take no copies for lack of room.
func (sen *SiteEngine) RefuseCopies() {
	sen.mutex.Lock()
	defer sen.mutex.Unlock()
	sen.refuse = true
}

// Stop breaks off all generations.
func (sen *SiteEngine) Stop() {
	sen.mutex.Lock()
	defer sen.mutex.Unlock()
	for _, gen := range sen.active {
		gen.stop()
	}
}

// Runs returns the runs so far.
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

// ServeHTTP answers requests and control calls.
func (sen *SiteEngine) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	if handle, ok := strings.CutPrefix(req.URL.Path, "/-/kv-handle/"); ok {
		sen.dropCopy(handle)
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
	report := map[string]any{"state": "ready", "runs": runs, "running": len(runs)}
	if sen.leaves {
		report["state"], report["leaves_ms"] = "draining", 1500
	}
	_ = json.NewEncoder(wri).Encode(report)
}

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
	sen.handles++
	handle := fmt.Sprintf("%s-%d", sen.ID, sen.handles)
	sen.mutex.Unlock()
	target := sen.Site.At(msg.To)
	if !ok {
		wri.WriteHeader(http.StatusNotFound)
		return
	}
	if msg.Last {
		gen.stop()
	}
	if target == nil || target.takesNoCopies() {
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

// dropCopy frees a copy at this endpoint and the others.
func (sen *SiteEngine) dropCopy(handle string) {
	for _, peer := range sen.Site.All() {
		peer.mutex.Lock()
		delete(peer.copies, handle)
		peer.mutex.Unlock()
	}
}

func (sen *SiteEngine) takesNoCopies() bool {
	sen.mutex.Lock()
	defer sen.mutex.Unlock()
	return sen.refuse
}

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
			mode = EngineSheds
		}
		from = made
	}
	if last, err := strconv.Atoi(hdr.Get("Last-Event-Id")); err == nil {
		from = last
	}
	sen.mutex.Unlock()
	if mode == EngineSheds {
		wri.Header().Set("Not-Executed", "1")
		wri.WriteHeader(http.StatusServiceUnavailable)
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

func (sen *SiteEngine) answer(wri http.ResponseWriter, req *http.Request, run *SiteRun, mode EngineMode, from int) {
	hdr := wri.Header()
	hdr.Set("Attempt-Id", run.CallID)
	if mode == EngineForeign {
		hdr.Set("Attempt-Id", "another")
	}
	if mode != EngineUnsigned {
		hdr.Set("Response-Signature", "signed."+sen.ID)
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
	if mode == EngineFails {
		wri.WriteHeader(http.StatusInternalServerError)
		_, _ = fmt.Fprintln(wri, "failed")
		return
	}
	if events, err := strconv.Atoi(req.URL.Query().Get("events")); err == nil {
		sen.stream(wri, req, run, mode, from, events)
		return
	}
	text := "answer of " + sen.ID + " to " + run.CallID
	hdr.Set("Content-Length", strconv.Itoa(len(text)))
	if mode == EngineCuts {
		_, _ = io.WriteString(wri, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(wri, text)
}

func (sen *SiteEngine) stream(wri http.ResponseWriter, req *http.Request, run *SiteRun, mode EngineMode, from, events int) {
	gen := &siteGeneration{made: from, stopped: make(chan struct{})}
	sen.mutex.Lock()
	sen.active[run.CallID] = gen
	sen.mutex.Unlock()
	defer func() {
		sen.mutex.Lock()
		delete(sen.active, run.CallID)
		sen.mutex.Unlock()
	}()
	wri.Header().Set("Content-Type", "text/event-stream")
	ctl := http.NewResponseController(wri)
	ticker := time.NewTicker(sen.Interval)
	defer ticker.Stop()
	for made := from + 1; made <= events; made++ {
		select {
		case <-ticker.C:
		case <-gen.stopped:
			panic(http.ErrAbortHandler)
		case <-req.Context().Done():
			sen.markCut(run)
			return
		}
		if mode == EngineCuts && made > events/2 {
			_, _ = fmt.Fprintf(wri, "id: %d\ndata: half", made)
			_ = ctl.Flush()
			panic(http.ErrAbortHandler)
		}
		sen.mutex.Lock()
		gen.made = made
		sen.mutex.Unlock()
		_, _ = fmt.Fprintf(wri, "id: %d\ndata: %s\n\n", made, run.CallID)
		if err := ctl.Flush(); err != nil {
			sen.markCut(run)
			return
		}
	}
}

func (sen *SiteEngine) markCut(run *SiteRun) {
	sen.mutex.Lock()
	defer sen.mutex.Unlock()
	run.Cut = true
}
