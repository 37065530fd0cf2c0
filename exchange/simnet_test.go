package exchange_test

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/exchange"
)

const (
	// linkLatency is the one-way delay between two daemons, storeLatency the time of one call to the store.
	linkLatency  = time.Millisecond
	storeLatency = 4 * time.Millisecond
	// linkPackets is the number of messages that a link holds.
	linkPackets = 4096
)

var (
	errRefused  = errors.New("connection refused")
	errOverflow = errors.New("the link is full")
)

// simNode is the machine of one daemon in the simulated network.
type simNode struct {
	address  string
	messages atomic.Int64
	bytes    atomic.Int64
	calls    atomic.Int64

	mutex  sync.Mutex
	conns  map[*simConn]bool
	accept chan net.Conn
	dead   bool
	// turnedAway is true while the store refuses this machine.
	turnedAway bool
	// thawed is nil unless the machine is frozen; it is closed when the machine goes on.
	thawed chan struct{}
}

func newSimNode(address string) *simNode {
	return &simNode{address: address, conns: map[*simConn]bool{}, accept: make(chan net.Conn, linkPackets)}
}

// kill closes all connections and refuses new ones.
func (nod *simNode) kill() {
	nod.mutex.Lock()
	nod.dead = true
	conns := nod.conns
	nod.conns = map[*simConn]bool{}
	nod.mutex.Unlock()
	for con := range conns {
		_ = con.Close()
	}
}

// freeze stops the machine's input and output until thaw.
func (nod *simNode) freeze() {
	nod.mutex.Lock()
	defer nod.mutex.Unlock()
	nod.thawed = make(chan struct{})
}

func (nod *simNode) thaw() {
	nod.mutex.Lock()
	defer nod.mutex.Unlock()
	close(nod.thawed)
	nod.thawed = nil
}

// frozen returns nil, or a channel that is closed when the machine goes on.
func (nod *simNode) frozen() chan struct{} {
	nod.mutex.Lock()
	defer nod.mutex.Unlock()
	return nod.thawed
}

// awaitThaw blocks while the machine is frozen.
func (nod *simNode) awaitThaw() {
	if thawed := nod.frozen(); thawed != nil {
		<-thawed
	}
}

func (nod *simNode) setTurnedAway(away bool) {
	nod.mutex.Lock()
	defer nod.mutex.Unlock()
	nod.turnedAway = away
}

func (nod *simNode) isTurnedAway() bool {
	nod.mutex.Lock()
	defer nod.mutex.Unlock()
	return nod.turnedAway
}

// connections returns the number of open connections.
func (nod *simNode) connections() int {
	nod.mutex.Lock()
	defer nod.mutex.Unlock()
	return len(nod.conns)
}

// Accept returns the next connection from another machine.
func (nod *simNode) Accept() (net.Conn, error) {
	con, ok := <-nod.accept
	if !ok {
		return nil, net.ErrClosed
	}
	return con, nil
}

// Close ends Accept.
func (nod *simNode) Close() error {
	nod.mutex.Lock()
	defer nod.mutex.Unlock()
	nod.dead = true
	close(nod.accept)
	return nil
}

// Addr returns the machine's address.
func (nod *simNode) Addr() net.Addr {
	return simAddress(nod.address)
}

type simAddress string

// Network returns the network's name.
func (simAddress) Network() string { return "sim" }

// String returns the address.
func (adr simAddress) String() string { return string(adr) }

// simNet connects the machines.
type simNet map[string]*simNode

// dialer returns the Dial function of one machine.
func (smn simNet) dialer(from *simNode) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		return smn.dial(ctx, from, address)
	}
}

func (smn simNet) dial(ctx context.Context, from *simNode, address string) (net.Conn, error) {
	from.awaitThaw()
	select {
	case <-time.After(2 * linkLatency):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	there, back := make(chan simPacket, linkPackets), make(chan simPacket, linkPackets)
	closed := &simClosed{done: make(chan struct{})}
	to := smn[address]
	one := &simConn{node: from, input: back, output: there, closed: closed}
	other := &simConn{node: to, input: there, output: back, closed: closed}
	if !to.connect(other) {
		return nil, errRefused
	}
	from.mutex.Lock()
	defer from.mutex.Unlock()
	from.conns[one] = true
	return one, nil
}

// connect passes a connection to Accept; it returns false if the machine is dead.
func (nod *simNode) connect(con *simConn) bool {
	nod.mutex.Lock()
	defer nod.mutex.Unlock()
	if nod.dead {
		return false
	}
	nod.conns[con] = true
	nod.accept <- con
	return true
}

// simPacket is data on its way. A frozen machine sends it when it goes on, that is, when held is closed.
type simPacket struct {
	at   time.Time
	held chan struct{}
	data []byte
}

type simClosed struct {
	once sync.Once
	done chan struct{}
}

// simConn is one end of a connection.
type simConn struct {
	node   *simNode
	input  chan simPacket
	output chan simPacket
	closed *simClosed
	rest   []byte
}

// Read returns data linkLatency after it was written.
func (con *simConn) Read(buf []byte) (int, error) {
	if len(con.rest) == 0 {
		select {
		case pkt := <-con.input:
			if pkt.held != nil {
				<-pkt.held
			}
			time.Sleep(time.Until(pkt.at))
			con.rest = pkt.data
		case <-con.closed.done:
			return 0, io.EOF
		}
	}
	con.node.awaitThaw()
	count := copy(buf, con.rest)
	con.rest = con.rest[count:]
	return count, nil
}

// Write sends data and counts it. It does not block: the caller holds a mutex, and time stands still while others wait
// for that.
func (con *simConn) Write(data []byte) (int, error) {
	con.node.messages.Add(1)
	con.node.bytes.Add(int64(len(data)))
	select {
	case <-con.closed.done:
		return 0, net.ErrClosed
	case con.output <- simPacket{time.Now().Add(linkLatency), con.node.frozen(), append([]byte(nil), data...)}:
		return len(data), nil
	default:
		return 0, errOverflow
	}
}

// Close closes both ends.
func (con *simConn) Close() error {
	con.closed.once.Do(func() { close(con.closed.done) })
	con.node.mutex.Lock()
	defer con.node.mutex.Unlock()
	delete(con.node.conns, con)
	return nil
}

// The rest of net.Conn is not used.

func (con *simConn) LocalAddr() net.Addr              { return simAddress(con.node.address) }
func (con *simConn) RemoteAddr() net.Addr             { return simAddress("") }
func (con *simConn) SetDeadline(time.Time) error      { return nil }
func (con *simConn) SetReadDeadline(time.Time) error  { return nil }
func (con *simConn) SetWriteDeadline(time.Time) error { return nil }

// simStore is the metadata store; simClient is its client at one machine.
type simStore struct {
	mutex  sync.Mutex
	topics map[string]*simTopic
	// era rises when the store returns from a copy.
	era int64
	// silent is true while the store executes no call and answers none.
	silent bool
}

// silentTime is the time after which a daemon gives up a call that is not answered.
const silentTime = 1800 * time.Millisecond

func (sto *simStore) setSilent(silent bool) {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	sto.silent = silent
}

func (sto *simStore) isSilent() bool {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	return sto.silent
}

type simTopic struct {
	records []exchange.Record
	// first is the offset of the first record that can still be read from the log.
	first int64
	// grown is closed and replaced at each append.
	grown chan struct{}
}

func newSimStore() *simStore {
	return &simStore{topics: map[string]*simTopic{}, era: 1}
}

func (sto *simStore) topic(name string) *simTopic {
	top, ok := sto.topics[name]
	if !ok {
		top = &simTopic{grown: make(chan struct{})}
		sto.topics[name] = top
	}
	return top
}

func (sto *simStore) put(name, key string, value []byte) {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	top := sto.topic(name)
	top.records = append(top.records, exchange.Record{Key: key, Value: value, Offset: int64(len(top.records))})
	close(top.grown)
	top.grown = make(chan struct{})
}

// since returns a copy of the records from an offset on, none if the log is shorter, and a channel that is closed when there are
// more or fewer. It also returns the store's era.
func (sto *simStore) since(name string, from int64) ([]exchange.Record, chan struct{}, int64) {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	top := sto.topic(name)
	return slices.Clone(top.records[min(from, int64(len(top.records))):]), top.grown, sto.era
}

// copyTopics returns a copy of what the store holds.
func (sto *simStore) copyTopics() map[string]*simTopic {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	return cloneTopics(sto.topics)
}

// restore makes the store hold what a copy holds, and raises its era.
func (sto *simStore) restore(copied map[string]*simTopic) {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	old := sto.topics
	sto.topics = cloneTopics(copied)
	sto.era++
	for _, top := range old {
		close(top.grown)
	}
}

func cloneTopics(topics map[string]*simTopic) map[string]*simTopic {
	cloned := map[string]*simTopic{}
	for name, top := range topics {
		cloned[name] = &simTopic{records: slices.Clone(top.records), first: top.first, grown: make(chan struct{})}
	}
	return cloned
}

// isMissing reports whether records from an offset on were dropped, or the log ends before it.
func (sto *simStore) isMissing(name string, from int64) bool {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	top := sto.topic(name)
	return from < top.first || from > int64(len(top.records))
}

type simClient struct {
	store *simStore
	node  *simNode
}

func (clt *simClient) call() error {
	clt.node.awaitThaw()
	clt.node.calls.Add(1)
	time.Sleep(storeLatency)
	if clt.store.isSilent() {
		time.Sleep(silentTime)
		return trace.ConnectionProblem(nil, "store: no answer")
	}
	if clt.node.isTurnedAway() {
		return trace.ConnectionProblem(nil, "store: 503")
	}
	return nil
}

// Newest returns the newest record of each key.
func (clt *simClient) Newest(_ context.Context, topic string) ([]exchange.Record, exchange.Position, error) {
	if err := clt.call(); err != nil {
		return nil, exchange.Position{}, err
	}
	all, _, era := clt.store.since(topic, 0)
	last := map[string]exchange.Record{}
	for _, rec := range all {
		last[rec.Key] = rec
	}
	var newest []exchange.Record
	for _, rec := range last {
		if rec.Value != nil {
			newest = append(newest, rec)
		}
	}
	return newest, exchange.Position{Era: era, Offset: int64(len(all))}, nil
}

// Read waits for records from a position on.
func (clt *simClient) Read(ctx context.Context, topic string, from exchange.Position, wait time.Duration) ([]exchange.Record, exchange.Position, error) {
	if err := clt.call(); err != nil {
		return nil, from, err
	}
	records, grown, era := clt.store.since(topic, from.Offset)
	if len(records) == 0 && era == from.Era {
		select {
		case <-grown:
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, from, ctx.Err()
		}
		records, _, era = clt.store.since(topic, from.Offset)
	}
	if era != from.Era {
		return nil, from, exchange.ErrorEraChanged(topic, from.Era, era)
	}
	if clt.store.isMissing(topic, from.Offset) {
		return nil, from, trace.NotFound("trimmed")
	}
	return records, exchange.Position{Era: era, Offset: from.Offset + int64(len(records))}, nil
}

// Write appends a record.
func (clt *simClient) Write(_ context.Context, topic, key string, value []byte) error {
	if err := clt.call(); err != nil {
		return err
	}
	clt.store.put(topic, key, value)
	return nil
}
