package standin

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// generationRetention is how long a finished generation can still be attached to.
	generationRetention = 5 * time.Minute
	keepAliveInterval   = time.Second
	maxEngineBodyBytes  = 2 << 20
	bytesPerToken       = 4
)

// EngineFaults selects the faults that an engine stand-in injects.
type EngineFaults struct {
	// Stall stops decoding; the engine still answers calls and sends keep-alive events.
	Stall bool `json:"stall"`
	// SilenceOpen stops sending on the streams that are open when the fault is set, without closing them; streams that
	// are opened later work.
	SilenceOpen bool `json:"silenceOpen"`
	// Leaving refuses new generations with the code "leaving" and sets "leaving" in load reports.
	Leaving bool `json:"leaving"`
	// Full refuses new generations as if memory were full.
	Full bool `json:"full"`
	// CrashOn ends the process when a prompt contains this text; an empty text disables the fault.
	CrashOn string `json:"crashOn"`
	// DropStart starts a requested generation and then closes the connection without a response.
	DropStart bool `json:"dropStart"`
	// FailStart answers start requests with status 500 and starts no generation.
	FailStart bool `json:"failStart"`
	// Garble corrupts the response streams of start requests at token index 3: "duplicate" repeats an index, "gap" omits
	// the token, and "foreign" sends a token of another generation.
	Garble string `json:"garble"`
}

// Engine is a stand-in for a model engine: it decodes all running generations in parallel, within limited memory.
type Engine struct {
	Name           string
	Models         []string
	CapacityTokens int
	TokenInterval  time.Duration
	// OutputTokens is the number of tokens of each generation; 0 draws a random number with a heavy tail.
	OutputTokens int
	// Crash ends the process.
	Crash func()

	mutex  sync.Mutex
	faults EngineFaults
	// silenced is closed and replaced when SilenceOpen is set; streams that were opened before stop sending.
	silenced    chan struct{}
	generations map[string]*engineGeneration
	preemptions int64
	started     int64
	cancelled   int64
	// failedStarts counts the starts that FailStart refused, by prompt.
	failedStarts map[string]int
	// fence is the fencing token of the last accepted order.
	fence         int64
	versions      map[string]string
	role          string
	orders        []acceptedOrder
	refusedOrders int64
	// ChecksFence refuses orders whose fencing token is lower than that of the last accepted order.
	ChecksFence bool
}

// engineGeneration is a generation that the engine runs, has preempted, or has finished within generationRetention.
type engineGeneration struct {
	id           string
	promptText   string
	promptTokens int
	// readers is the number of open streams of the generation.
	readers int
	// readerlessSince is when the last stream was closed, or the start if there was none yet.
	readerlessSince   time.Time
	readerlessTimeout time.Duration
	priority          int
	// total is the number of tokens to decode.
	total     int
	tokens    []string
	preempted bool
	cancelled bool
	// doneAt is when the generation completed or was cancelled; zero before.
	doneAt time.Time
	// changed is closed and replaced when a token is added or the generation is cancelled.
	changed chan struct{}
}

// NewEngine returns an engine without generations.
func NewEngine() *Engine {
	return &Engine{
		Name: "engine", CapacityTokens: 100_000, TokenInterval: 20 * time.Millisecond,
		Crash: func() {}, silenced: make(chan struct{}), generations: map[string]*engineGeneration{},
		versions: map[string]string{}, failedStarts: map[string]int{},
	}
}

// Handler returns the routes of the engine.
func (eng *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /generations", eng.handleStart)
	mux.HandleFunc("GET /generations", eng.handleList)
	mux.HandleFunc("GET /generations/{id}", eng.handleAttach)
	mux.HandleFunc("DELETE /generations/{id}", eng.handleCancel)
	mux.HandleFunc("GET /load", func(wri http.ResponseWriter, _ *http.Request) { eng.writeLoad(wri) })
	mux.HandleFunc("POST /orders", eng.handleOrder)
	mux.HandleFunc("GET /orders", eng.handleOrders)
	mux.HandleFunc("POST /faults", eng.handleFaults)
	mux.HandleFunc("GET /stats", eng.handleStats)
	mux.HandleFunc("GET /failed", eng.handleFailed)
	return mux
}

// Run decodes one token of each running generation per TokenInterval until stop is closed.
func (eng *Engine) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(eng.TokenInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			eng.step(now)
		}
	}
}

// step decodes one token for each running generation. When memory is full, it first preempts the generation of the
// lowest priority.
func (eng *Engine) step(now time.Time) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.cancelReaderless(now)
	if eng.faults.Stall {
		return
	}
	eng.resumePreempted()
	for _, gen := range eng.running() {
		if eng.usedTokens() >= eng.CapacityTokens {
			eng.preemptLowest(gen)
		}
		if gen.preempted {
			continue
		}
		gen.tokens = append(gen.tokens, fmt.Sprintf("%s-%d ", gen.id[:8], len(gen.tokens)))
		if len(gen.tokens) >= gen.total {
			gen.doneAt = now
		}
		gen.notify()
	}
	for id, gen := range eng.generations {
		if !gen.doneAt.IsZero() && now.Sub(gen.doneAt) > generationRetention {
			delete(eng.generations, id)
		}
	}
}

// running returns the generations that are decoding, highest priority first.
func (eng *Engine) running() []*engineGeneration {
	var gens []*engineGeneration
	for _, gen := range eng.generations {
		if gen.doneAt.IsZero() && !gen.preempted {
			gens = append(gens, gen)
		}
	}
	slices.SortFunc(gens, func(one, two *engineGeneration) int {
		if one.priority != two.priority {
			return two.priority - one.priority
		}
		return strings.Compare(one.id, two.id)
	})
	return gens
}

// usedTokens returns the memory used by running generations, in tokens.
func (eng *Engine) usedTokens() int {
	used := 0
	for _, gen := range eng.generations {
		if gen.doneAt.IsZero() && !gen.preempted {
			used += gen.promptTokens + len(gen.tokens)
		}
	}
	return used
}

// preemptLowest preempts the running generation of the lowest priority, unless keep is the only one.
func (eng *Engine) preemptLowest(keep *engineGeneration) {
	gens := eng.running()
	victim := gens[len(gens)-1]
	if victim == keep && len(gens) == 1 {
		return
	}
	victim.preempted = true
	eng.preemptions++
}

// resumePreempted resumes preempted generations as long as more than a tenth of the memory stays free.
func (eng *Engine) resumePreempted() {
	for _, gen := range eng.generations {
		if gen.preempted && eng.usedTokens()+gen.promptTokens+len(gen.tokens) < eng.CapacityTokens*9/10 {
			gen.preempted = false
		}
	}
}

// notify wakes the streams that wait for a change of the generation.
func (gen *engineGeneration) notify() {
	close(gen.changed)
	gen.changed = make(chan struct{})
}

func (eng *Engine) handleStart(wri http.ResponseWriter, req *http.Request) {
	var msg struct {
		ID        string `json:"id"`
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"maxTokens"`
		Priority  int    `json:"priority"`
		Class     string `json:"class"`
		UnreadFor string `json:"unreadFor"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(wri, req.Body, maxEngineBodyBytes)).Decode(&msg); err != nil || len(msg.ID) < 8 {
		eng.refuse(wri, http.StatusBadRequest, "badRequest")
		return
	}
	if eng.countFailedStart(msg.Prompt) {
		eng.refuse(wri, http.StatusInternalServerError, "failed")
		return
	}
	unreadFor, _ := time.ParseDuration(msg.UnreadFor)
	if code := eng.begin(msg.ID, msg.Model, msg.Prompt, msg.MaxTokens, msg.Priority, unreadFor); code != "" {
		eng.refuse(wri, http.StatusServiceUnavailable, code)
		return
	}
	eng.mutex.Lock()
	faults := eng.faults
	eng.mutex.Unlock()
	if faults.DropStart {
		panic(http.ErrAbortHandler)
	}
	eng.stream(wri, req, msg.ID, 0, faults.Garble)
}

// begin creates a generation unless one with the id exists already. It returns the error code of a refusal, or an
// empty string.
func (eng *Engine) begin(id, model, prompt string, maxTokens, priority int, unreadFor time.Duration) string {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	if eng.faults.CrashOn != "" && strings.Contains(prompt, eng.faults.CrashOn) {
		eng.Crash()
	}
	if _, ok := eng.generations[id]; ok {
		return ""
	}
	if eng.faults.Leaving {
		return "leaving"
	}
	promptTokens := len(prompt)/bytesPerToken + 1
	if eng.faults.Full || eng.usedTokens()+promptTokens >= eng.CapacityTokens {
		return "full"
	}
	if !slices.Contains(eng.Models, model) {
		return "modelNotLoaded"
	}
	eng.generations[id] = &engineGeneration{
		id: id, promptText: prompt, readerlessSince: time.Now(), readerlessTimeout: unreadFor, promptTokens: promptTokens, priority: priority,
		total: min(maxTokens, eng.outputTokens()), changed: make(chan struct{}),
	}
	eng.started++
	return ""
}

func (eng *Engine) outputTokens() int {
	if eng.OutputTokens > 0 {
		return eng.OutputTokens
	}
	return 5 + int(50*rand.ExpFloat64()*rand.ExpFloat64())
}

func (eng *Engine) handleOrder(wri http.ResponseWriter, req *http.Request) {
	var ord engineOrder
	if err := json.NewDecoder(http.MaxBytesReader(wri, req.Body, maxEngineBodyBytes)).Decode(&ord); err != nil {
		eng.refuse(wri, http.StatusBadRequest, "badRequest")
		return
	}
	eng.mutex.Lock()
	stale := eng.ChecksFence && ord.Fence < eng.fence
	if stale {
		eng.refusedOrders++
	} else {
		eng.fence = ord.Fence
		eng.orders = append(eng.orders, acceptedOrder{At: time.Now(), engineOrder: ord})
		eng.applyOrder(ord)
	}
	eng.mutex.Unlock()
	if stale {
		eng.refuse(wri, http.StatusConflict, "staleFence")
		return
	}
	eng.writeLoad(wri)
}

func (eng *Engine) handleFaults(wri http.ResponseWriter, req *http.Request) {
	var flt EngineFaults
	if err := json.NewDecoder(req.Body).Decode(&flt); err != nil {
		eng.refuse(wri, http.StatusBadRequest, "badRequest")
		return
	}
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	if flt.SilenceOpen {
		close(eng.silenced)
		eng.silenced = make(chan struct{})
	}
	eng.faults = flt
}

func (eng *Engine) handleStats(wri http.ResponseWriter, _ *http.Request) {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	writeJSON(wri, http.StatusOK, map[string]int64{"orders": int64(len(eng.orders)), "refusedOrders": eng.refusedOrders, "fence": eng.fence, "started": eng.started, "cancelled": eng.cancelled, "preemptions": eng.preemptions})
}

func (eng *Engine) refuse(wri http.ResponseWriter, status int, code string) {
	eng.setLoad(wri)
	writeJSON(wri, status, map[string]string{"code": code})
}

func (eng *Engine) writeLoad(wri http.ResponseWriter) {
	eng.setLoad(wri)
	wri.WriteHeader(http.StatusOK)
}

// setLoad sets the load report as a response header.
func (eng *Engine) setLoad(wri http.ResponseWriter) {
	wri.Header().Set("Papayacroft-Load", eng.loadReport())
}

// loadReport returns the load report as JSON.
func (eng *Engine) loadReport() string {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	running, waiting := 0, 0
	for _, gen := range eng.generations {
		switch {
		case !gen.doneAt.IsZero():
		case gen.preempted:
			waiting++
		default:
			running++
		}
	}
	report := map[string]any{
		"at": time.Now(), "usedTokens": eng.usedTokens(), "capacityTokens": eng.CapacityTokens,
		"running": running, "waiting": waiting, "preemptions": eng.preemptions,
		"models": append([]string{}, eng.Models...), "versions": maps.Clone(eng.versions), "role": eng.role, "leaving": eng.faults.Leaving,
	}
	data, err := json.Marshal(report)
	if err != nil {
		return ""
	}
	return string(data)
}
