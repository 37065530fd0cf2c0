package routing

import (
	"github.com/cespare/xxhash/v2"

	"papayacroft/inventory"
)

// prefixHome returns the index of the home of a prompt prefix: the engine that all daemons prefer for the prefix, so
// that its cache holds it. It is chosen by rendezvous hashing over the usable engines; -1 means that there is none.
// Hashing needs neither a record of sends nor messages. With 400 daemons, one daemon sees too few requests with a
// prefix to learn where the prefix is cached, and sending the cache events of all engines would exceed the control
// budget.
func prefixHome(digest string, engines []inventory.Endpoint, usable func(edp *inventory.Endpoint) bool) int {
	home, highest := -1, uint64(0)
	hash := xxhash.New()
	for i := range engines {
		hash.Reset()
		_, _ = hash.WriteString(digest)
		_, _ = hash.WriteString("/")
		_, _ = hash.WriteString(engines[i].Name)
		if weight := hash.Sum64(); (home < 0 || weight > highest) && usable(&engines[i]) {
			home, highest = i, weight
		}
	}
	return home
}

// findHome sets the home of the request's prefix in a pool and returns its index, or -1 if the prefix has no home.
// A request with a margin has none: an organisation that uses more than its share gets no prefix affinity.
func (sel *selection) findHome(endpoints []inventory.Endpoint) int {
	sel.home = nil
	if sel.request.Model == "" || sel.request.PrefixDigest == "" || sel.request.Margin > 0 || sel.view.Disabled.Prefix {
		return -1
	}
	home := prefixHome(sel.request.PrefixDigest, endpoints, func(edp *inventory.Endpoint) bool {
		if sel.ineligible(edp) != "" {
			return false
		}
		sta := sel.view.Statuses.Status(edp.Name)
		return unusable(sel.now, &sta, sel.request.Model) == ""
	})
	if home >= 0 {
		sel.home = &endpoints[home]
	}
	return home
}
