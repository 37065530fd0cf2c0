package standin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// KeyedStore stands in for the metadata store of the users' machines: compacted topics with one partition, which keep
// the newest record of each key.
type KeyedStore struct {
	mutex  sync.Mutex
	topics map[string]*keyedTopic
	mode   StoreMode
	calls  int
	// era is the value of headerEra; it rises when the store returns from a copy.
	era int
}

// KeyedCopy is a copy of what a store held.
type KeyedCopy struct {
	topics map[string]*keyedTopic
}

// StoreMode selects a fault that the store injects.
type StoreMode string

// The modes of the store.
const (
	// StoreUp injects no fault.
	StoreUp StoreMode = ""
	// StoreBusy answers each call with status 503.
	StoreBusy StoreMode = "busy"
	// StoreReset resets the connection of each call and executes none.
	StoreReset StoreMode = "reset"
	// StoreSilent never answers and executes no call.
	StoreSilent StoreMode = "silent"
	// StoreLosesAnswers executes appends but does not answer them; reads are answered.
	StoreLosesAnswers StoreMode = "loses"
)

type keyedTopic struct {
	// first is the offset of the first record in records.
	first   int64
	records []keyedRecord
	// newest holds the newest record of each key; it survives compaction.
	newest map[string]keyedRecord
	// changed is closed and replaced at each append.
	changed chan struct{}
	// deliveries is the number of reads that returned records.
	deliveries int
}

type keyedRecord struct {
	offset int64
	key    string
	value  []byte
}

const (
	// keyedReadHeaderBytes is the length in bytes of a read response's header: end offset and first offset.
	keyedReadHeaderBytes = 16
	// keyedRecordHeaderBytes is the length in bytes of a record's length prefix.
	keyedRecordHeaderBytes = 4
	maxAppendBytes         = 2 << 20
	headerEra              = "Store-Era"
)

// NewKeyedStore returns an empty store.
func NewKeyedStore() *KeyedStore {
	return &KeyedStore{topics: map[string]*keyedTopic{}, era: 1}
}

// SetMode changes the fault that the store injects into further calls.
func (kst *KeyedStore) SetMode(mode StoreMode) {
	kst.mutex.Lock()
	defer kst.mutex.Unlock()
	kst.mode = mode
}

// Calls returns the number of calls received so far.
func (kst *KeyedStore) Calls() int {
	kst.mutex.Lock()
	defer kst.mutex.Unlock()
	return kst.calls
}

// Put appends a record of a key and returns its offset; a nil value deletes the key.
func (kst *KeyedStore) Put(topic, key string, value []byte) int64 {
	kst.mutex.Lock()
	defer kst.mutex.Unlock()
	top := kst.topic(topic)
	rec := keyedRecord{offset: top.first + int64(len(top.records)), key: key, value: value}
	top.records = append(top.records, rec)
	if value == nil {
		delete(top.newest, key)
	} else {
		top.newest[key] = rec
	}
	close(top.changed)
	top.changed = make(chan struct{})
	return rec.offset
}

// Keys returns the keys of a topic that have a value.
func (kst *KeyedStore) Keys(topic string) []string {
	kst.mutex.Lock()
	defer kst.mutex.Unlock()
	return slices.Sorted(maps.Keys(kst.topic(topic).newest))
}

// Compact deletes a topic's records from the log; the newest record of each key can still be read by key.
func (kst *KeyedStore) Compact(topic string) {
	kst.mutex.Lock()
	defer kst.mutex.Unlock()
	top := kst.topic(topic)
	top.first += int64(len(top.records))
	top.records = nil
}

// Forget drops the newest record of a key, as if the store had lost it with a part of its history; no record says so.
func (kst *KeyedStore) Forget(topic, key string) {
	kst.mutex.Lock()
	defer kst.mutex.Unlock()
	delete(kst.topic(topic).newest, key)
}

// Copy returns a copy of what the store holds.
func (kst *KeyedStore) Copy() *KeyedCopy {
	kst.mutex.Lock()
	defer kst.mutex.Unlock()
	return &KeyedCopy{topics: copyTopics(kst.topics)}
}

// Restore makes the store hold what it held when a copy was made, and raises its era. Calls that it has not answered get no
// answer.
func (kst *KeyedStore) Restore(cpy *KeyedCopy) {
	kst.mutex.Lock()
	defer kst.mutex.Unlock()
	old := kst.topics
	kst.topics = copyTopics(cpy.topics)
	kst.era++
	for _, top := range old {
		close(top.changed)
	}
}

func copyTopics(topics map[string]*keyedTopic) map[string]*keyedTopic {
	copied := map[string]*keyedTopic{}
	for name, top := range topics {
		copied[name] = &keyedTopic{
			first: top.first, records: slices.Clone(top.records), newest: maps.Clone(top.newest), changed: make(chan struct{}), deliveries: top.deliveries,
		}
	}
	return copied
}

func (kst *KeyedStore) topic(name string) *keyedTopic {
	top, ok := kst.topics[name]
	if !ok {
		top = &keyedTopic{newest: map[string]keyedRecord{}, changed: make(chan struct{})}
		kst.topics[name] = top
	}
	return top
}

// ServeHTTP answers the calls of the store's protocol.
func (kst *KeyedStore) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	kst.mutex.Lock()
	kst.calls++
	mode, era := kst.mode, kst.era
	kst.mutex.Unlock()
	wri.Header().Set(headerEra, strconv.Itoa(era))
	switch mode {
	case StoreBusy:
		wri.WriteHeader(http.StatusServiceUnavailable)
		return
	case StoreReset:
		panic(http.ErrAbortHandler)
	case StoreSilent:
		<-req.Context().Done()
		return
	}
	topic := req.URL.Query().Get("topic")
	switch req.URL.Path {
	case "/-/log-newest":
		kst.serveNewest(wri, topic)
	case "/-/log-read":
		kst.serveRead(wri, req, topic, era)
	case "/-/log-append":
		kst.serveAppend(wri, req, topic, mode)
	default:
		wri.WriteHeader(http.StatusNotFound)
	}
}

func (kst *KeyedStore) serveNewest(wri http.ResponseWriter, topic string) {
	kst.mutex.Lock()
	defer kst.mutex.Unlock()
	top := kst.topic(topic)
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	items := []item{}
	for key, rec := range top.newest {
		items = append(items, item{key, base64.StdEncoding.EncodeToString(rec.value), rec.offset})
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	_ = json.NewEncoder(wri).Encode(map[string]any{"items": items, "more": false, "end": top.first + int64(len(top.records))})
}

func (kst *KeyedStore) serveRead(wri http.ResponseWriter, req *http.Request, topic string, era int) {
	from, err := strconv.ParseInt(req.URL.Query().Get("from"), 10, 64)
	if err != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(req.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waited := wait == 0; ; {
		kst.mutex.Lock()
		if kst.era != era {
			kst.mutex.Unlock()
			panic(http.ErrAbortHandler)
		}
		top := kst.topic(topic)
		data, missing := top.read(from)
		changed := top.changed
		kst.mutex.Unlock()
		if missing {
			wri.WriteHeader(http.StatusGone)
			return
		}
		if waited || len(data) > keyedReadHeaderBytes {
			kst.countDelivery(top, len(data) > keyedReadHeaderBytes)
			_, _ = wri.Write(data)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waited = true
		case <-req.Context().Done():
			return
		}
	}
}

// countDelivery counts a read of a topic if it returned records.
func (kst *KeyedStore) countDelivery(top *keyedTopic, records bool) {
	kst.mutex.Lock()
	defer kst.mutex.Unlock()
	if records {
		top.deliveries++
	}
}

// Deliveries returns the number of reads of a topic so far that returned records.
func (kst *KeyedStore) Deliveries(topic string) int {
	kst.mutex.Lock()
	defer kst.mutex.Unlock()
	return kst.topic(topic).deliveries
}

// read returns the response to a read from an offset on; missing is true if the records there were compacted away, or if the log
// ends before that offset.
func (top *keyedTopic) read(from int64) (data []byte, missing bool) {
	end := top.first + int64(len(top.records))
	if from < top.first || from > end {
		return nil, true
	}
	data = binary.BigEndian.AppendUint64(nil, uint64(end))
	data = binary.BigEndian.AppendUint64(data, uint64(top.first))
	for _, rec := range top.records {
		if rec.offset >= from {
			data = binary.BigEndian.AppendUint32(data, uint32(1+len(rec.key)+len(rec.value)))
			data = append(data, byte(len(rec.key)))
			data = append(append(data, rec.key...), rec.value...)
		}
	}
	return data, false
}

func (kst *KeyedStore) serveAppend(wri http.ResponseWriter, req *http.Request, topic string, mode StoreMode) {
	if !strings.HasPrefix(topic, "keyed.status") {
		wri.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxAppendBytes))
	if err != nil || len(body) < keyedRecordHeaderBytes+1 {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	end := keyedRecordHeaderBytes + 1 + int(body[keyedRecordHeaderBytes])
	if end > len(body) {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	offset := kst.Put(topic, string(body[keyedRecordHeaderBytes+1:end]), body[end:])
	if mode == StoreLosesAnswers {
		<-req.Context().Done()
		return
	}
	_ = json.NewEncoder(wri).Encode(map[string]int64{"offset": offset, "end": offset + 1})
}
