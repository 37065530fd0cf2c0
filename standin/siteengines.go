package standin

import "sync"

// SiteEngines are the engines of a site by address.
type SiteEngines struct {
	mutex   sync.Mutex
	engines map[string]*SiteEngine
}

// NewSiteEngines returns a site without engines.
func NewSiteEngines() *SiteEngines {
	return &SiteEngines{engines: map[string]*SiteEngine{}}
}

// Put adds an engine, or replaces the one that had the address.
func (ses *SiteEngines) Put(address string, sen *SiteEngine) {
	ses.mutex.Lock()
	defer ses.mutex.Unlock()
	ses.engines[address] = sen
	sen.Site = ses
}

// At returns the engine at an address, nil if there is none.
func (ses *SiteEngines) At(address string) *SiteEngine {
	ses.mutex.Lock()
	defer ses.mutex.Unlock()
	return ses.engines[address]
}

// All returns all engines.
func (ses *SiteEngines) All() []*SiteEngine {
	ses.mutex.Lock()
	defer ses.mutex.Unlock()
	all := make([]*SiteEngine, 0, len(ses.engines))
	for _, sen := range ses.engines {
		all = append(all, sen)
	}
	return all
}
