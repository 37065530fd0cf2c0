package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine stands in for an engine or a plain service.
type engine struct {
	sit                        *site
	id, service, zone, address string
	slots                      int
	born                       time.Time
	// serve answers the requests of clients; control calls are answered by the engine itself.
	serve func(cal *call)
	// link carries the engine's writes to the store; nil means that they arrive at once.
	link *link

	mutex     sync.Mutex
	listener  net.Listener
	conns     map[net.Conn]bool
	arrivals  []*call
	answers   int
	state     string
	sequence  int
	stopBeats chan struct{}
	// generations are the running streams by request, and copies the events of copied streams by handle.
	generations map[string]*generation
	copies      map[string]int
	handles     int
}

// call is one request that reached an engine.
type call struct {
	eng  *engine
	id   string
	at   time.Time
	req  *http.Request
	body string
	con  net.Conn
}

// addEngine starts an engine and registers it.
func (sit *site) addEngine(id, service, zone string, slots int, serve func(cal *call)) (*engine, error) {
	eng := &engine{sit: sit, id: id, service: service, zone: zone, slots: slots, serve: serve, state: "ready", copies: map[string]int{}, generations: map[string]*generation{}}
	lis, err := net.Listen("tcp", "127.0.2.1:0")
	if err != nil {
		return nil, err
	}
	eng.address = lis.Addr().String()
	eng.begin(lis)
	return eng, nil
}

// begin starts an incarnation of the engine.
func (eng *engine) begin(lis net.Listener) {
	eng.mutex.Lock()
	eng.listener, eng.conns, eng.born, eng.stopBeats = lis, map[net.Conn]bool{}, time.Now(), make(chan struct{})
	eng.mutex.Unlock()
	eng.sit.rec.add("engine %s (%s) at %s started", eng.id, eng.service, eng.address)
	go eng.accept(lis)
	go eng.beats(eng.stopBeats)
}

func (eng *engine) accept(lis net.Listener) {
	for {
		con, err := lis.Accept()
		if err != nil {
			return
		}
		eng.mutex.Lock()
		eng.conns[con] = true
		eng.mutex.Unlock()
		go eng.serveConn(con)
	}
}

func (eng *engine) serveConn(con net.Conn) {
	defer func() {
		eng.mutex.Lock()
		delete(eng.conns, con)
		eng.mutex.Unlock()
		_ = con.Close()
	}()
	req, err := http.ReadRequest(bufio.NewReader(con))
	if err != nil {
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	cal := &call{eng: eng, id: req.Header.Get("Attempt-Id"), at: time.Now(), req: req, body: string(body), con: con}
	switch {
	case strings.HasPrefix(req.URL.Path, "/-/"):
		eng.control(cal)
		return
	case req.Header.Get("Expect-Instance") != "" && req.Header.Get("Expect-Instance") != eng.id:
		cal.write("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", eng.id)
		return
	}
	eng.mutex.Lock()
	eng.arrivals = append(eng.arrivals, cal)
	eng.mutex.Unlock()
	eng.sit.rec.add("engine %s: %s %s arrives and runs", eng.id, cal.id, req.URL.Path)
	eng.serve(cal)
}

// write sends bytes to the gateway and reports whether that worked.
func (cal *call) write(format string, args ...any) bool {
	_, err := fmt.Fprintf(cal.con, format, args...)
	return err == nil
}

// head sends the head of an answer; framing is a header line, or empty for an answer that ends with its connection.
func (cal *call) head(status int, kind, framing string) bool {
	return cal.write("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nResponse-Signature: 3e1b.%s.%s\r\nContent-Type: %s\r\n%s\r\n", status, http.StatusText(status), cal.id, cal.eng.id, cal.id, kind, framing)
}

const chunked = "Transfer-Encoding: chunked\r\n"

// chunk sends one chunk of a chunked answer; an empty one ends the answer.
func (cal *call) chunk(text string) bool {
	return cal.write("%x\r\n%s\r\n", len(text), text)
}

// answer sends a whole answer with a length.
func (cal *call) answer(status int, text string) {
	cal.head(status, "text/plain", fmt.Sprintf("Content-Length: %d\r\n", len(text)))
	cal.write("%s", text)
}

func event(number int, id string) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", number, number, id)
}

// lastEvent returns the event after which the request goes on.
func (cal *call) lastEvent() int {
	last, err := strconv.Atoi(cal.req.Header.Get("Last-Event-Id"))
	if err != nil {
		return 0
	}
	return last
}

// arrivalsOf returns the requests that reached the engine.
func (eng *engine) arrivalsOf() []*call {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	return append([]*call(nil), eng.arrivals...)
}

// countAnswer numbers the answers of an engine.
func (eng *engine) countAnswer() int {
	eng.mutex.Lock()
	defer eng.mutex.Unlock()
	eng.answers++
	return eng.answers
}

// beats writes the engine's entry every heartbeat.
func (eng *engine) beats(stop chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		eng.beat()
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
	}
}

func (eng *engine) beat() {
	eng.mutex.Lock()
	eng.sequence++
	state, sequence := eng.state, eng.sequence
	eng.mutex.Unlock()
	entry := eng.entry(state, sequence)
	if eng.link == nil {
		eng.sit.accept(eng.id, entry)
		return
	}
	eng.link.send(eng.id, fmt.Sprintf("%s, sequence %d", state, sequence), entry)
}

// setDraining reports that the engine leaves, in a write of its own.
func (eng *engine) setDraining() {
	eng.mutex.Lock()
	eng.state = "draining"
	eng.mutex.Unlock()
	eng.beat()
}

// crash ends the engine as the end of its process does; it starts again after a time with a new id.
func (eng *engine) crash(down time.Duration) {
	eng.mutex.Lock()
	lis, conns := eng.listener, eng.conns
	if lis == nil {
		eng.mutex.Unlock()
		return
	}
	eng.listener = nil
	close(eng.stopBeats)
	eng.mutex.Unlock()
	_ = lis.Close()
	for con := range conns {
		if tcp, ok := con.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = con.Close()
	}
	eng.sit.rec.add("engine %s crashes", eng.id)
	if down <= 0 {
		return
	}
	time.AfterFunc(down, func() {
		lis, err := net.Listen("tcp", eng.address)
		if err != nil {
			eng.sit.rec.add("engine %s can't start again: %v", eng.id, err)
			return
		}
		eng.mutex.Lock()
		eng.id, eng.sequence, eng.state = eng.id+"+", 0, "ready"
		eng.mutex.Unlock()
		eng.begin(lis)
	})
}

// generation is a running stream.
type generation struct {
	made    int
	stopped chan struct{}
	once    sync.Once
}

// control answers the control calls that the gateways make.
func (eng *engine) control(cal *call) {
	switch path := cal.req.URL.Path; {
	case path == "/-/report":
		eng.mutex.Lock()
		runs := [][]any{}
		for id, gen := range eng.generations {
			runs = append(runs, []any{id, 600 + 4*gen.made, gen.made, 1})
		}
		report := map[string]any{"phase": "prefill_decode", "busy": false, "sequence": 1, "waiting": 0, "running": len(runs), "kvUsed": 600 * len(runs), "kvTotal": 34454, "handles": len(eng.copies), "state": eng.state, "runs": runs}
		eng.mutex.Unlock()
		cal.json(http.StatusOK, report)
	case path == "/-/kv-move":
		eng.move(cal)
	case strings.HasPrefix(path, "/-/kv-handle/"):
		cal.json(http.StatusOK, map[string]any{})
	default:
		cal.json(http.StatusNotFound, map[string]any{})
	}
}

func (cal *call) json(status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	cal.write("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(data), data)
}

// copyTime is how long it takes to copy the memory of a request here.
const copyTime = 20 * time.Millisecond

// move copies the memory of a running request to another engine. With last, the run stops first, and its stream is
// closed without its end.
func (eng *engine) move(cal *call) {
	var msg struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if err := json.Unmarshal([]byte(cal.body), &msg); err != nil {
		cal.json(http.StatusBadRequest, map[string]any{})
		return
	}
	eng.mutex.Lock()
	gen := eng.generations[msg.ID]
	eng.mutex.Unlock()
	target := engineAt(msg.To)
	if gen == nil || target == nil {
		cal.json(http.StatusNotFound, map[string]any{})
		return
	}
	if msg.Last {
		gen.once.Do(func() { close(gen.stopped) })
	} else {
		time.Sleep(copyTime)
	}
	eng.mutex.Lock()
	made := gen.made
	eng.mutex.Unlock()
	handle := "h-" + msg.ID
	target.mutex.Lock()
	target.copies[handle] = made
	target.mutex.Unlock()
	eng.sit.rec.add("engine %s: %s copied to %s, %d events made, last %v", eng.id, msg.ID, target.id, made, msg.Last)
	cal.json(http.StatusOK, map[string]any{"handle": handle, "createRev": made})
}

var (
	enginesMutex sync.Mutex
	engines      = map[string]*engine{}
)

// engineAt returns the engine at an address.
func engineAt(address string) *engine {
	enginesMutex.Lock()
	defer enginesMutex.Unlock()
	return engines[address]
}

func putEngine(eng *engine) {
	enginesMutex.Lock()
	defer enginesMutex.Unlock()
	engines[eng.address] = eng
}
