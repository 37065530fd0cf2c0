package standin

import "sync"

// SiteEngines holds the engines of a site by address.
type SiteEngines struct {
	mutex   sync.Mutex
	engines map[string]*SiteEngine
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
