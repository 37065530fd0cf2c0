package standin

import (
	"strings"
	"sync"
)

// SiteEngines holds the engines of a site by address.
type SiteEngines struct {
	mutex   sync.Mutex
	engines map[string]*SiteEngine
	// deadly is the part of a prompt that crashes each engine that begins to answer it; empty means none.
	deadly string
	// deadlyEvents is the number of events that an engine sends before it crashes.
	deadlyEvents int
}

// NewSiteEngines returns a site without engines.
func NewSiteEngines() *SiteEngines {
	return &SiteEngines{engines: map[string]*SiteEngine{}}
}

// Put adds an engine; it replaces an engine with the same address.
func (ses *SiteEngines) Put(address string, sen *SiteEngine) {
	ses.mutex.Lock()
	defer ses.mutex.Unlock()
	ses.engines[address] = sen
	sen.Site = ses
}

// At returns the engine at an address, or nil.
func (ses *SiteEngines) At(address string) *SiteEngine {
	ses.mutex.Lock()
	defer ses.mutex.Unlock()
	return ses.engines[address]
}

// All returns all engines in no particular order.
func (ses *SiteEngines) All() []*SiteEngine {
	ses.mutex.Lock()
	defer ses.mutex.Unlock()
	all := make([]*SiteEngine, 0, len(ses.engines))
	for _, sen := range ses.engines {
		all = append(all, sen)
	}
	return all
}

// SetDeadlyPart makes each engine crash that begins to answer a request with this part in its prompt, after so many events.
func (ses *SiteEngines) SetDeadlyPart(id string, events int) {
	ses.mutex.Lock()
	defer ses.mutex.Unlock()
	ses.deadly, ses.deadlyEvents = id, events
}

// isDeadly reports whether a prompt, given as the header of its parts, contains the deadly part, and after how many events an
// engine crashes then.
func (ses *SiteEngines) isDeadly(prompt string) (deadly bool, events int) {
	ses.mutex.Lock()
	defer ses.mutex.Unlock()
	for _, part := range strings.Split(prompt, ",") {
		if id, _, _ := strings.Cut(part, ":"); id != "" && id == ses.deadly {
			return true, ses.deadlyEvents
		}
	}
	return false, 0
}
