package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// storeAnswerTime is the time in which the store answers a call.
	storeAnswerTime = 4 * time.Millisecond
	topicOperator   = "keyed.op"
	topicServers    = "keyed.servers"
)

// record is one record of a keyed topic; a nil value drops the key.
type record struct {
	key   string
	value []byte
}

// Store stands in for the platform's metadata store: keyed topics with one partition. It can be taken away and brought back
// from an earlier copy.
type Store struct {
	Address string

	mutex   sync.Mutex
	topics  map[string][]record
	changed chan struct{}
	// down is true while the store is away, and silent if it then doesn't answer in place of resetting connections.
	down, silent bool
	era          int
	server       *http.Server
	log          *Log
}

// newStore starts a store on a free loopback port.
func newStore(log *Log) *Store {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable("store: %v", err)
	}
	sto := &Store{Address: lis.Addr().String(), topics: map[string][]record{}, changed: make(chan struct{}), era: 1, log: log}
	sto.server = &http.Server{Handler: sto}
	go func() { _ = sto.server.Serve(lis) }()
	return sto
}

// put appends a record and returns its offset; ok is false while the store is away.
func (sto *Store) put(topic, key string, value []byte) (offset int, ok bool) {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	if sto.down {
		return 0, false
	}
	offset = len(sto.topics[topic])
	sto.topics[topic] = append(sto.topics[topic], record{key, value})
	close(sto.changed)
	sto.changed = make(chan struct{})
	return offset, true
}

// copyTopics returns a copy of what the store holds.
func (sto *Store) copyTopics() map[string][]record {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	all := map[string][]record{}
	for name, records := range sto.topics {
		all[name] = slices.Clone(records)
	}
	return all
}

// leave takes the store away: it executes nothing, and resets its connections or gives no answer.
func (sto *Store) leave(silent bool) {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	sto.down, sto.silent = true, silent
	close(sto.changed)
	sto.changed = make(chan struct{})
}

// comeBack brings the store back; with a copy, it holds what the copy holds and its era rises.
func (sto *Store) comeBack(copied map[string][]record) {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	sto.down = false
	if copied != nil {
		sto.topics = copied
		sto.era++
	}
}

// ServeHTTP answers the calls of the store's protocol that the system makes.
func (sto *Store) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	time.Sleep(storeAnswerTime)
	sto.mutex.Lock()
	down, era := sto.down, sto.era
	sto.mutex.Unlock()
	if down {
		sto.fail(req)
	}
	wri.Header().Set("Store-Era", strconv.Itoa(era))
	topic := req.URL.Query().Get("topic")
	switch req.URL.Path {
	case "/-/log-newest":
		sto.answerNewest(wri, topic)
	case "/-/log-read":
		sto.answerRead(wri, req, topic)
	case "/-/log-append":
		sto.answerAppend(wri, req, topic)
	default:
		wri.WriteHeader(http.StatusNotFound)
	}
}

// fail ends a call that arrives while the store is away. It does not return.
func (sto *Store) fail(req *http.Request) {
	sto.mutex.Lock()
	silent := sto.silent
	sto.mutex.Unlock()
	if silent {
		<-req.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

func (sto *Store) answerNewest(wri http.ResponseWriter, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	sto.mutex.Lock()
	records := sto.topics[topic]
	newest := map[string]int{}
	for at, rec := range records {
		newest[rec.key] = at
	}
	items := []item{}
	for at, rec := range records {
		if newest[rec.key] == at && rec.value != nil {
			items = append(items, item{rec.key, base64.StdEncoding.EncodeToString(rec.value), at})
		}
	}
	end := len(records)
	sto.mutex.Unlock()
	_ = json.NewEncoder(wri).Encode(map[string]any{"items": items, "more": false, "end": end})
}

func (sto *Store) answerRead(wri http.ResponseWriter, req *http.Request, topic string) {
	from, err := strconv.Atoi(req.URL.Query().Get("from"))
	if err != nil || from < 0 {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(req.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := wait == 0; ; {
		sto.mutex.Lock()
		down, records, changed := sto.down, sto.topics[topic], sto.changed
		sto.mutex.Unlock()
		switch {
		case down:
			sto.fail(req)
		case from > len(records):
			// The store doesn't have this offset.
			wri.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(wri).Encode(map[string]int{"first": 0})
			return
		case from < len(records) || expired:
			data := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			data = binary.BigEndian.AppendUint64(data, 0)
			for _, rec := range records[from:] {
				data = binary.BigEndian.AppendUint32(data, uint32(1+len(rec.key)+len(rec.value)))
				data = append(data, byte(len(rec.key)))
				data = append(append(data, rec.key...), rec.value...)
			}
			_, _ = wri.Write(data)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-req.Context().Done():
			return
		}
	}
}

func (sto *Store) answerAppend(wri http.ResponseWriter, req *http.Request, topic string) {
	const headBytes = 4
	body, err := io.ReadAll(req.Body)
	if topic == topicOperator || topic == topicServers {
		wri.WriteHeader(http.StatusForbidden)
		return
	}
	if err != nil || len(body) < headBytes+1 || len(body) < headBytes+1+int(body[headBytes]) {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	end := headBytes + 1 + int(body[headBytes])
	var value []byte
	if end < len(body) {
		value = body[end:]
	}
	offset, ok := sto.put(topic, string(body[headBytes+1:end]), value)
	if !ok {
		sto.fail(req)
	}
	_ = json.NewEncoder(wri).Encode(map[string]int{"offset": offset, "end": offset + 1})
}
