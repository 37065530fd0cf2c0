package membership

import (
	"encoding/binary"
	"encoding/json"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MethodExchange is the method with which peers exchange gossip.
	MethodExchange = "member.exchange"
	// MaxMessageBytes bounds the JSON of a message, as section 3.4 of the design demands.
	MaxMessageBytes = 700
	// maxEntryBytes bounds an entry, so that a message has room for the sender's entry and another one.
	maxEntryBytes = 320
	// targetMessageBytes is the size that a message exceeds only by its first item, after which it takes no other, or by
	// an organisation over its limit. It keeps four messages a second below 1.6 KB/s of a node's 2 KB/s, also when many
	// members change at once.
	targetMessageBytes = 280
)

// Entry describes one member in a message. Keys are short because messages are bounded.
type Entry struct {
	Name          string `json:"n"`
	Address       string `json:"a"`
	AdminAddress  string `json:"m,omitempty"`
	FailureDomain string `json:"d"`
	Incarnation   string `json:"i"`
	// Epoch orders the incarnations of one name. It is the start time in milliseconds, or one more than the epoch
	// of another incarnation that the daemon received, if that is greater.
	Epoch int64 `json:"e"`
	// Revision orders the entries of one incarnation; only the member itself increments it.
	Revision int64 `json:"b,omitempty"`
	State    State `json:"s,omitempty"`
	Version  int64 `json:"v,omitempty"`
}

// Message is the request or the reply of an exchange.
type Message struct {
	Sender  Entry   `json:"from"`
	Members []Entry `json:"members,omitempty"`
	// Changes describe incarnations that most daemons already know; a change takes a tenth of an entry's bytes.
	Changes []Change `json:"changes,omitempty"`
	// Known is the number of members that the sender knows and that are not gone. RecentStarts is the number of those
	// that started within recentStartTime.
	Known        int `json:"k,omitempty"`
	RecentStarts int `json:"y,omitempty"`
	// Leaving holds notices of leaving endpoints.
	Leaving []Notice `json:"leaving,omitempty"`
	// OverLimit holds an organisation that is over its limit, and the seconds after which that information expires.
	OverLimit map[string]int `json:"over,omitempty"`
}

// Notice says that an endpoint takes no new work.
type Notice struct {
	Endpoint string    `json:"endpoint"`
	Since    time.Time `json:"since"`
}

// Change holds the incarnation's identifier, the revision and the rank of the state.
type Change [3]int64

// id is a hash of an incarnation. It is short because messages are bounded; among 400 incarnations the probability
// that two have the same one is 2 in 100,000.
func id(incarnation string) int64 {
	return int64(binary.BigEndian.Uint32(idBytes(incarnation)))
}

func idBytes(incarnation string) []byte {
	return binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(incarnation))[:4]
}

func (rec *record) change() Change {
	return Change{id(rec.Incarnation), rec.Revision, int64(rec.State.rank())}
}

// wireEntry has the fields of an entry without its methods.
type wireEntry Entry

// MarshalJSON omits the state if it is live, and the host of the admin address if it is that of the address.
func (ent Entry) MarshalJSON() ([]byte, error) {
	if ent.State == StateLive {
		ent.State = ""
	}
	host, _, err := net.SplitHostPort(ent.Address)
	if adminHost, port, adminErr := net.SplitHostPort(ent.AdminAddress); err == nil && adminErr == nil && host == adminHost {
		ent.AdminAddress = ":" + port
	}
	return json.Marshal(wireEntry(ent))
}

// UnmarshalJSON restores what MarshalJSON omitted.
func (ent *Entry) UnmarshalJSON(data []byte) error {
	if err := json.Unmarshal(data, (*wireEntry)(ent)); err != nil {
		return err
	}
	if ent.State == "" {
		ent.State = StateLive
	}
	host, _, err := net.SplitHostPort(ent.Address)
	if adminHost, port, adminErr := net.SplitHostPort(ent.AdminAddress); err == nil && adminErr == nil && adminHost == "" {
		ent.AdminAddress = net.JoinHostPort(host, port)
	}
	return nil
}

// newer reports whether an entry replaces another one of the same name.
func (ent Entry) newer(old Entry) bool {
	if ent.Epoch != old.Epoch {
		return ent.Epoch > old.Epoch
	}
	if ent.Incarnation != old.Incarnation {
		return ent.Incarnation > old.Incarnation
	}
	if ent.Revision != old.Revision {
		return ent.Revision > old.Revision
	}
	return ent.State.rank() > old.State.rank()
}

// valid reports whether an entry is complete, has a known state and is small enough for a message.
func (ent Entry) valid() bool {
	return ent.Name != "" && ent.Address != "" && ent.Incarnation != "" && ent.State.rank() >= 0 && size(ent) <= maxEntryBytes
}

// size is the length of a value's JSON, with the comma that follows it.
func size(value any) int {
	data, err := json.Marshal(value)
	if err != nil {
		return MaxMessageBytes
	}
	return len(data) + 1
}
