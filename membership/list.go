package membership

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"
)

// MethodList is the peers' method that returns the members that the asking daemon lacks.
const MethodList = "member.list"

const (
	// minListPause and maxListPause bound the time between two requests for a list; it doubles after a list with few entries.
	minListPause = 15 * time.Second
	maxListPause = time.Minute
	// listLackDivisor and listLackMinimum are the lack of members above which a daemon requests a list: the number of
	// members that it knows divided by listLackDivisor, plus listLackMinimum.
	listLackDivisor = 4
	listLackMinimum = 4
	// catchUpPause is the time after a list during which a smaller lack causes no request, because exchanges alone may end it.
	catchUpPause = time.Minute
	// listOdds makes a daemon that lacks members request a list with a probability of one in four per exchange, so that
	// the requests of many daemons that lack the same members are spread over some seconds.
	listOdds = 4
	// maxListBytes bounds a decompressed list.
	maxListBytes = 1 << 20
)

// ListRequest names the incarnations that the asking daemon knows.
type ListRequest struct {
	// Known holds their identifiers, four bytes each.
	Known []byte `json:"known,omitempty"`
}

// ListReply holds the entries of the members that the request does not name, as JSON compressed with gzip: 45 bytes
// a member instead of 130.
type ListReply struct {
	Members []byte `json:"members,omitempty"`
}

// WantsList reports whether this daemon should request a list from a peer, because the peer's message shows that it
// knows many more members, or many more recent starts. From catchUpPause after the last list on, one more is enough.
func (tab *Table) WantsList(now time.Time, rnd *rand.Rand, msg Message) bool {
	age := now.Sub(tab.listAt)
	if age < tab.listPause || rnd.IntN(listOdds) > 0 {
		return false
	}
	catchUp := !tab.listAt.IsZero() && age > catchUpPause
	lacks := func(own, peer int) bool {
		return peer > own+own/listLackDivisor+listLackMinimum || catchUp && peer > own
	}
	return lacks(tab.known, msg.Known) || lacks(tab.recentStarts, msg.RecentStarts)
}

// ListRequest composes the request for a list.
func (tab *Table) ListRequest(now time.Time) ListRequest {
	tab.listAt = now
	known := idBytes(tab.self.Incarnation)
	for _, name := range tab.sortedMembers() {
		known = append(known, idBytes(tab.members[name].Incarnation)...)
	}
	return ListRequest{Known: known}
}

// List returns the members that are not gone and that the asking daemon doesn't know.
func (tab *Table) List(req ListRequest) (ListReply, error) {
	known := map[int64]bool{}
	for rest := req.Known; len(rest) >= 4; rest = rest[4:] {
		known[int64(binary.BigEndian.Uint32(rest))] = true
	}
	var entries []Entry
	for _, name := range tab.sortedMembers() {
		if rec := tab.members[name]; rec.State != StateGone && !known[id(rec.Incarnation)] {
			entries = append(entries, rec.Entry)
		}
	}
	if len(entries) == 0 {
		return ListReply{}, nil
	}
	var buf bytes.Buffer
	zip := gzip.NewWriter(&buf)
	if err := json.NewEncoder(zip).Encode(entries); err != nil {
		return ListReply{}, trace.Wrap(err)
	}
	if err := zip.Close(); err != nil {
		return ListReply{}, trace.Wrap(err)
	}
	return ListReply{Members: buf.Bytes()}, nil
}

// ReceiveList merges a list. It does not queue the list's members as changes, because other daemons have already
// broadcast them.
func (tab *Table) ReceiveList(now time.Time, rep ListReply) error {
	var entries []Entry
	if len(rep.Members) > 0 {
		zip, err := gzip.NewReader(bytes.NewReader(rep.Members))
		if err != nil {
			return trace.BadParameter("list of members is not valid: %v", err)
		}
		if err := json.NewDecoder(io.LimitReader(zip, maxListBytes)).Decode(&entries); err != nil {
			return trace.BadParameter("list of members is not valid: %v", err)
		}
	}
	before := len(tab.members)
	for _, ent := range entries {
		_, old := tab.pendingChanges[ent.Name]
		tab.merge(now, ent, false)
		if !old {
			delete(tab.pendingChanges, ent.Name)
		}
	}
	if len(entries) > before/listLackDivisor {
		tab.listPause = minListPause
	} else {
		tab.listPause = min(2*tab.listPause, maxListPause)
	}
	return nil
}
