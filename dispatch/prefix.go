package dispatch

import (
	"container/list"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayacroft/catalog"
)

const (
	// maxPrefixEntries bounds the entries of Prefixes, about 1 MB.
	maxPrefixEntries = 4096
	// maxPromptParts is the number of leading parts of a prompt that are considered.
	maxPromptParts = 32
	// heldRetention is how long a part counts as held by an engine without being used there.
	heldRetention = 30 * time.Second
	// seenRetention is how long a daemon remembers the first part of prompts, its homes and their confidence. One daemon
	// of many sees a part much more rarely than its homes do: at 75 requests a second, 60 daemons and 50 parts every 40 s.
	seenRetention = 10 * time.Minute
	// demandPeriod is the mean time over which the requests with a first part are counted.
	demandPeriod = heldRetention
	// homeCount is the number of engines that are taken to hold a part without a record of it.
	homeCount = 2
	// homeConfidence is the confidence that a home holds a part, before any answer has shown it.
	homeConfidence = 0.5
	// homeDelay is the time after which an engine that has become a home later than others, or has started again, is taken
	// to hold the part: requests of other daemons have made it read the part by then.
	homeDelay = 5 * time.Second
	// readingShare is the confidence in a part that a request without an event is reading: the request may yet be refused.
	readingShare = 0.5
	// minConfidence is the lower bound of the confidence, so that it rises again after a few answers.
	minConfidence = 1.0 / 16
	// idlePromptRate is the rate in tokens a second at which an engine of usual speed reads prompts if nothing else runs.
	idlePromptRate = 14000
	// verdictMargin is the least difference between the times to read a prompt with and without its held parts that an
	// answer is judged by: two steps of an engine.
	verdictMargin = 30 * time.Millisecond
)

// Part is a section of a prompt. An engine that has read the same parts before need not read them again.
type Part struct {
	ID     string
	Tokens int
}

// Prefixes records which parts of prompts engines hold, as far as this daemon's requests show it. It holds soft state of
// one daemon; daemons agree on the homes of a part by hashing.
type Prefixes struct {
	// Enabled turns the mechanism on for all services.
	Enabled bool

	// services are those for which the mechanism is on in any case.
	services map[string]bool
	// entries holds the elements of recent; the front of recent was used last.
	entries map[prefixKey]*list.Element
	recent  *list.List
}

// prefixKey identifies a part at an engine, or a first part in general if the engine is zero.
type prefixKey struct {
	engine Incarnation
	part   uint64
}

// prefixEntry is what is known of a part at an engine, or of a first part in general.
type prefixEntry struct {
	key    prefixKey
	usedAt time.Time
	// confidence is the probability that the engine still holds the part when it is needed again.
	confidence float64
	// read is true once the first event of a request has shown that the engine has read the part; readers is the number
	// of requests with the part there.
	read    bool
	readers int
	// seen is set for first parts in general.
	seen *seenPart
}

// seenPart is what is known of the first part of prompts, whatever the engine. It counts as seen once a request with it
// was sent.
type seenPart struct {
	// requests counts the requests with the part, with a mean life of demandPeriod: it is also the number of those to be
	// expected in the next demandPeriod. It is as of the entry's usedAt.
	requests float64
	homes    []home
}

// home is an engine that is taken to hold a part.
type home struct {
	engine     Incarnation
	confidence float64
	// since is when the engine became a home; zero if it was one from the beginning or has read the part since.
	since time.Time
}

// Reading is a prompt that was sent to an engine.
type Reading struct {
	// Held is the number of tokens that the engine is expected to hold, weighted by the confidence.
	Held int

	engine Incarnation
	parts  []uint64
	sentAt time.Time
	// wait is the time until the engine begins with the prompt; rate is in tokens a second.
	wait   time.Duration
	rate   float64
	prompt int
	// expected is what was expected of the engine.
	expected expectation
	started  bool
}

// expectation is what an engine is expected to hold of a prompt.
type expectation struct {
	// parts is the number of leading parts, tokens their size, and weighted the size weighted by the confidence.
	parts, tokens int
	weighted      float64
	// first is the confidence that the engine holds the first part.
	first float64
}

// NewPrefixes returns a record without entries that is off.
func NewPrefixes() *Prefixes {
	return &Prefixes{services: map[string]bool{}, entries: map[prefixKey]*list.Element{}, recent: list.New()}
}

// EnableService turns the mechanism on for a service, whatever Enabled says.
func (prf *Prefixes) EnableService(service string) {
	prf.services[service] = true
}

// IsEnabled reports whether the mechanism is on for a service.
func (prf *Prefixes) IsEnabled(service string) bool {
	return prf.Enabled || prf.services[service]
}

// Started records the first event of a prompt: the engine has read all its parts. The time that it took shows whether
// the engine held those that it was expected to hold.
func (prf *Prefixes) Started(now time.Time, rdg *Reading) {
	if rdg == nil || rdg.started {
		return
	}
	rdg.started = true
	factor := rdg.verdict(now)
	for i, part := range rdg.parts {
		ent := prf.use(now, prefixKey{rdg.engine, part})
		ent.read = true
		if i < rdg.expected.parts {
			ent.confidence = scaled(ent.confidence, factor)
		}
	}
	if sen := prf.seen(now, rdg.parts[0]); sen != nil {
		sen.judge(rdg, factor)
	}
}

// End records that a generation has ended at its engine or was moved off it. The engine holds the parts as of now,
// unless the prompt was not read.
func (prf *Prefixes) End(now time.Time, rdg *Reading) {
	if rdg == nil {
		return
	}
	for _, part := range rdg.parts {
		key := prefixKey{rdg.engine, part}
		elm, ok := prf.entries[key]
		if !ok {
			continue
		}
		ent := elm.Value.(*prefixEntry)
		ent.readers = max(0, ent.readers-1)
		switch {
		case rdg.started:
			prf.use(now, key)
		case !ent.read && ent.readers == 0:
			prf.remove(elm)
		}
	}
}

// Drop forgets what an engine holds, because it has ended or was restarted.
func (prf *Prefixes) Drop(now time.Time, engine Incarnation) {
	for key, elm := range prf.entries {
		if key.engine == engine {
			prf.remove(elm)
		}
		if sen := elm.Value.(*prefixEntry).seen; sen != nil {
			sen.drop(now, engine)
		}
	}
}

// Forget removes the entries that were not used for too long, and those of engines that are no longer in the fleet or
// have started again.
func (prf *Prefixes) Forget(now time.Time, flt catalog.FleetView) {
	for key, elm := range prf.entries {
		edp, listed := flt.Endpoints[key.engine.Endpoint]
		gone := key.engine != Incarnation{} && (!listed || edp.StartedAt != key.engine.StartedAt)
		if gone || elm.Value.(*prefixEntry).isExpired(now) {
			prf.remove(elm)
		}
	}
}

// Len returns the number of entries.
func (prf *Prefixes) Len() int {
	return prf.recent.Len()
}

// begin records that a prompt is sent to an engine.
func (prf *Prefixes) begin(now time.Time, rdg *Reading, shared bool) {
	if shared {
		requests := prf.demandFor(now, rdg.parts[0])
		ent := prf.use(now, prefixKey{part: rdg.parts[0]})
		if ent.seen == nil {
			ent.seen = &seenPart{}
		}
		ent.seen.requests = requests + 1
	}
	for _, part := range rdg.parts {
		prf.use(now, prefixKey{rdg.engine, part}).readers++
	}
}

// expect returns what an engine is expected to hold of a prompt: its leading parts without a gap, and less than the
// whole prompt, since an engine computes at least one token.
func (prf *Prefixes) expect(now time.Time, engine Incarnation, keys []uint64, parts []Part, prompt int) expectation {
	var exp expectation
	confidence := 1.0
	for i, key := range keys {
		one, read := prf.heldConfidence(now, prefixKey{engine, key})
		if i == 0 {
			if !read {
				one = max(one, prf.homeConfidenceOf(now, engine, key))
			}
			exp.first = one
		}
		confidence = min(confidence, one)
		tokens := min(parts[i].Tokens, prompt-1-exp.tokens)
		if confidence == 0 || tokens <= 0 {
			break
		}
		exp.parts++
		exp.tokens += tokens
		exp.weighted += confidence * float64(tokens)
	}
	return exp
}

// heldConfidence returns the confidence that an engine holds a part, from the requests that this daemon has sent there,
// and whether one of them has read it.
func (prf *Prefixes) heldConfidence(now time.Time, key prefixKey) (confidence float64, read bool) {
	elm, ok := prf.entries[key]
	if !ok {
		return 0, false
	}
	ent := elm.Value.(*prefixEntry)
	switch {
	case ent.isExpired(now):
		return 0, false
	case !ent.read:
		return readingShare * ent.confidence, false
	}
	return ent.confidence, true
}

// homeConfidenceOf returns the confidence that an engine holds a first part as one of its homes.
func (prf *Prefixes) homeConfidenceOf(now time.Time, engine Incarnation, part uint64) float64 {
	if sen := prf.seen(now, part); sen != nil {
		for _, hom := range sen.homes {
			if hom.engine == engine && sen.requests > 0 && now.Sub(hom.since) >= homeDelay {
				return hom.confidence
			}
		}
	}
	return 0
}

// seen returns what is known of a first part; nil if there is nothing.
func (prf *Prefixes) seen(now time.Time, part uint64) *seenPart {
	elm, ok := prf.entries[prefixKey{part: part}]
	if !ok || elm.Value.(*prefixEntry).isExpired(now) {
		return nil
	}
	return elm.Value.(*prefixEntry).seen
}

// demandFor returns the number of requests with a first part that this daemon is to expect in the next demandPeriod.
func (prf *Prefixes) demandFor(now time.Time, part uint64) float64 {
	sen := prf.seen(now, part)
	if sen == nil {
		return 0
	}
	age := now.Sub(prf.entries[prefixKey{part: part}].Value.(*prefixEntry).usedAt)
	return sen.requests * math.Exp(-float64(age)/float64(demandPeriod))
}

// use returns the entry of a key and marks it as used now. It makes one if there is none or if it has expired, and then
// evicts the one that was used longest ago if there are too many.
func (prf *Prefixes) use(now time.Time, key prefixKey) *prefixEntry {
	elm, ok := prf.entries[key]
	if ok && elm.Value.(*prefixEntry).isExpired(now) {
		prf.remove(elm)
		ok = false
	}
	if !ok {
		if prf.recent.Len() >= maxPrefixEntries {
			prf.remove(prf.recent.Back())
		}
		elm = prf.recent.PushFront(&prefixEntry{key: key, confidence: 1})
		prf.entries[key] = elm
	}
	prf.recent.MoveToFront(elm)
	ent := elm.Value.(*prefixEntry)
	ent.usedAt = now
	return ent
}

func (prf *Prefixes) remove(elm *list.Element) {
	delete(prf.entries, elm.Value.(*prefixEntry).key)
	prf.recent.Remove(elm)
}

// isExpired reports whether an entry was not used for too long. A generation that runs holds its parts in use.
func (ent *prefixEntry) isExpired(now time.Time) bool {
	if ent.seen != nil {
		return now.Sub(ent.usedAt) >= seenRetention
	}
	return ent.readers == 0 && now.Sub(ent.usedAt) >= heldRetention
}

// setHomes records the engines that are homes of a first part. Those that already were keep their confidence.
func (prf *Prefixes) setHomes(now time.Time, part uint64, engines []Incarnation) {
	sen := prf.seen(now, part)
	if sen == nil {
		sen = &seenPart{}
		prf.use(now, prefixKey{part: part}).seen = sen
	}
	homes := make([]home, 0, len(engines))
	for _, engine := range engines {
		one := home{engine: engine, confidence: homeConfidence}
		if at := slices.IndexFunc(sen.homes, func(hom home) bool { return hom.engine == engine }); at >= 0 {
			one = sen.homes[at]
		} else if sen.homes != nil {
			one.since = now
		}
		homes = append(homes, one)
	}
	sen.homes = homes
}

// judge changes the confidence in a home after the first event of a prompt there.
func (sen *seenPart) judge(rdg *Reading, factor float64) {
	for i := range sen.homes {
		hom := &sen.homes[i]
		if hom.engine != rdg.engine {
			continue
		}
		hom.since = time.Time{}
		if rdg.expected.parts > 0 {
			hom.confidence = scaled(hom.confidence, factor)
		}
	}
}

// drop records that an engine, if it is a home, holds the part no longer.
func (sen *seenPart) drop(now time.Time, engine Incarnation) {
	for i := range sen.homes {
		if sen.homes[i].engine == engine {
			sen.homes[i] = home{engine: engine, confidence: homeConfidence, since: now}
		}
	}
}

// verdict returns the factor by which the time to the first event changes the confidence in the parts that were expected
// to be held: 0.5 if it is that of a full read, 2 if it is too short for one, and 1 if it does not tell them apart.
func (rdg *Reading) verdict(now time.Time) float64 {
	fastestFull := readTime(rdg.prompt, max(rdg.rate, idlePromptRate))
	slowestHeld := rdg.wait + readTime(rdg.prompt-rdg.expected.tokens, rdg.rate)
	switch {
	case rdg.expected.parts == 0 || fastestFull-slowestHeld < verdictMargin:
		return 1
	case now.Sub(rdg.sentAt) < (fastestFull+slowestHeld)/2:
		return 2
	}
	return 0.5
}

// scaled returns a confidence after a verdict.
func scaled(confidence, factor float64) float64 {
	return min(1, max(minConfidence, confidence*factor))
}

// readTime returns the time to read a number of tokens at a rate in tokens a second.
func readTime(tokens int, rate float64) time.Duration {
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// partKeys returns a hash of each part, of maxPromptParts at most. It covers the size, so that a part that is stated with
// another size is another part.
func partKeys(parts []Part) []uint64 {
	keys := make([]uint64, 0, min(len(parts), maxPromptParts))
	sum := xxhash.New()
	for _, part := range parts[:min(len(parts), maxPromptParts)] {
		sum.Reset()
		_, _ = sum.WriteString(part.ID)
		_, _ = sum.WriteString(":")
		_, _ = sum.WriteString(strconv.Itoa(part.Tokens))
		keys = append(keys, sum.Sum64())
	}
	return keys
}
