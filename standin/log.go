// Package standin holds small stand-ins for the systems outside papayacroft.
package standin

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const maxRecordBytes = 8 << 20

// LogFaults selects the faults that a log stand-in injects.
type LogFaults struct {
	// Down answers each call with status 503.
	Down bool `json:"down"`
	// DropAnswers is the number of further appends that are executed but not answered.
	DropAnswers int `json:"dropAnswers"`
	// DelayMillis delays each call.
	DelayMillis int `json:"delayMillis"`
}

// Log is an append-only log with offsets, retention and a bounded append rate.
type Log struct {
	Retention time.Duration
	Now       func() time.Time

	limiter *rate.Limiter
	mutex   sync.Mutex
	faults  LogFaults
	streams map[string]*logStream
	appends int64
}

type logRecord struct {
	Offset int64     `json:"offset"`
	At     time.Time `json:"at"`
	Body   []byte    `json:"body"`
}

type logStream struct {
	// first is the offset of the first retained record, or of the next record if there is none.
	first   int64
	records []logRecord
	// changed is closed and replaced at each append.
	changed chan struct{}
}

// NewLog returns an empty log that accepts a limited number of appends per second.
func NewLog(appendsPerSecond int) *Log {
	return &Log{
		Retention: 24 * time.Hour,
		Now:       time.Now,
		limiter:   rate.NewLimiter(rate.Limit(appendsPerSecond), appendsPerSecond),
		streams:   map[string]*logStream{},
	}
}

// Handler returns the routes of the log.
func (log *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", log.handleAppend)
	mux.HandleFunc("GET /streams/{stream}/records", log.handleRead)
	mux.HandleFunc("POST /faults", log.handleFaults)
	mux.HandleFunc("GET /stats", log.handleStats)
	return mux
}

func (log *Log) handleFaults(wri http.ResponseWriter, req *http.Request) {
	var flt LogFaults
	if err := json.NewDecoder(req.Body).Decode(&flt); err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.faults = flt
}

func (log *Log) handleStats(wri http.ResponseWriter, _ *http.Request) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	writeJSON(wri, http.StatusOK, map[string]int64{"appends": log.appends})
}

// admit applies the delay and the outage to a call and reports whether the call may proceed.
func (log *Log) admit(wri http.ResponseWriter) bool {
	log.mutex.Lock()
	flt := log.faults
	log.mutex.Unlock()
	time.Sleep(time.Duration(flt.DelayMillis) * time.Millisecond)
	if flt.Down {
		http.Error(wri, "log is down", http.StatusServiceUnavailable)
	}
	return !flt.Down
}

func (log *Log) handleAppend(wri http.ResponseWriter, req *http.Request) {
	if !log.admit(wri) {
		return
	}
	if !log.limiter.Allow() {
		http.Error(wri, "too many appends", http.StatusTooManyRequests)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(wri, req.Body, maxRecordBytes))
	if err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	offset, answered := log.append(req.PathValue("stream"), body)
	if !answered {
		panic(http.ErrAbortHandler)
	}
	writeJSON(wri, http.StatusOK, map[string]int64{"offset": offset})
}

// append adds a record and returns its offset; answered is false if DropAnswers suppresses the response.
func (log *Log) append(name string, body []byte) (offset int64, answered bool) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	stm := log.stream(name)
	offset = stm.first + int64(len(stm.records))
	stm.records = append(stm.records, logRecord{Offset: offset, At: log.Now(), Body: body})
	log.appends++
	close(stm.changed)
	stm.changed = make(chan struct{})
	if log.faults.DropAnswers > 0 {
		log.faults.DropAnswers--
		return offset, false
	}
	return offset, true
}

func (log *Log) handleRead(wri http.ResponseWriter, req *http.Request) {
	if !log.admit(wri) {
		return
	}
	from, err := strconv.ParseInt(req.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(wri, "from is not a number", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(req.URL.Query().Get("wait"))
	if err != nil {
		wait = 0
	}
	maxBytes, err := strconv.Atoi(req.URL.Query().Get("maxBytes"))
	if err != nil {
		maxBytes = math.MaxInt
	}
	timeout := time.After(wait)
	for {
		reply, changed := log.read(req.PathValue("stream"), from, maxBytes)
		if len(reply.Records) > 0 {
			writeJSON(wri, http.StatusOK, reply)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(wri, http.StatusOK, reply)
			return
		case <-req.Context().Done():
			return
		}
	}
}

type logBatch struct {
	// First is the offset of the first retained record.
	First int64 `json:"first"`
	// Next is the offset from which the next read continues.
	Next    int64       `json:"next"`
	Records []logRecord `json:"records"`
	// More is true if the batch was cut at the byte limit and further records are available.
	More bool `json:"more,omitempty"`
}

// read returns the records from an offset on whose bodies fit maxBytes, but at least one record if there is any, and a
// channel that is closed at the next append.
func (log *Log) read(name string, from int64, maxBytes int) (logBatch, <-chan struct{}) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	stm := log.stream(name)
	stm.expire(log.Now().Add(-log.Retention))
	reply := logBatch{First: stm.first, Next: stm.first + int64(len(stm.records)), Records: []logRecord{}}
	size := 0
	for _, rec := range stm.records[min(max(from-stm.first, 0), int64(len(stm.records))):] {
		size += len(rec.Body)
		if size > maxBytes && len(reply.Records) > 0 {
			reply.Next, reply.More = rec.Offset, true
			break
		}
		reply.Records = append(reply.Records, rec)
	}
	return reply, stm.changed
}

func (log *Log) stream(name string) *logStream {
	stm, ok := log.streams[name]
	if !ok {
		stm = &logStream{first: 1, changed: make(chan struct{})}
		log.streams[name] = stm
	}
	return stm
}

// expire drops the records that were appended before the given time.
func (stm *logStream) expire(before time.Time) {
	for len(stm.records) > 0 && stm.records[0].At.Before(before) {
		stm.records = stm.records[1:]
		stm.first++
	}
}

func writeJSON(wri http.ResponseWriter, status int, value any) {
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	_ = json.NewEncoder(wri).Encode(value)
}
