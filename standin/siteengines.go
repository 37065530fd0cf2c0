package standin

import (
	"strings"
	"sync"
)

// SiteEngines holds the engines of a site by address.
type SiteEngines struct {
	mutex   sync.Mutex
	engines map[string]*SiteEngine
	// deadly is the part of a prompt that crashes each engine that begins to answer it.
	deadly DeadlyPart
}

// DeadlyPart is a part of prompts that crashes each engine that begins to answer a request with it; with an empty ID, there is
// none.
type DeadlyPart struct {
	ID string
	// Events is the number of events that an engine sends before it crashes.
	Events int
	// Form is how the answer ends.
	Form DeadlyForm
}

// DeadlyForm selects the answer to a request with a deadly part.
type DeadlyForm string

const (
	// DeadlyBreaksOff breaks off a stream.
	DeadlyBreaksOff DeadlyForm = ""
	// DeadlyFails breaks off an answer with status 500.
	DeadlyFails DeadlyForm = "fails"
	// DeadlyWhole ends a stream as complete; the engine crashes after deadlyDelay.
	DeadlyWhole DeadlyForm = "whole"
	// DeadlyRestarts breaks off a stream, and the address goes on to take connections.
	DeadlyRestarts DeadlyForm = "restarts"
)

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

// SetDeadlyPart replaces the deadly part.
func (ses *SiteEngines) SetDeadlyPart(dly DeadlyPart) {
	ses.mutex.Lock()
	defer ses.mutex.Unlock()
	ses.deadly = dly
}

// deadlyIn returns the deadly part if a prompt, given as the header of its parts, contains it.
func (ses *SiteEngines) deadlyIn(prompt string) (dly DeadlyPart, found bool) {
	ses.mutex.Lock()
	defer ses.mutex.Unlock()
	for _, part := range strings.Split(prompt, ",") {
		if id, _, _ := strings.Cut(part, ":"); id != "" && id == ses.deadly.ID {
			return ses.deadly, true
		}
	}
	return DeadlyPart{}, false
}
