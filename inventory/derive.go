package inventory

import (
	"maps"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"papayacroft/finding"
)

// Apply applies the changes, validates the result and returns its index, or the findings that Validate would return.
// The receiver must be the index of a valid configuration. The cost of an update depends mostly on the number of
// changed objects rather than on the size of the configuration.
func (idx *Index) Apply(changes []Change) (*Index, finding.List, error) {
	next, err := idx.Configuration.Apply(changes)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	chk := check{old: idx, next: next, changed: namesByKind(changes)}
	if !chk.valid() {
		if lst := chk.findings(); len(lst) > 0 {
			return nil, lst, nil
		}
	}
	return idx.derive(next, chk.changed), nil, nil
}

// derive returns the index of a valid configuration that differs from the old one only in the changed objects.
// It rebuilds only the tables that depend on them and shares the others with the old index.
func (idx *Index) derive(next *Configuration, changed map[Kind]map[string]bool) *Index {
	old, der := idx.Configuration, *idx
	der.Configuration = next
	if names := changed[KindOrganisation]; len(names) > 0 {
		der.credentials = idx.credentials.replaced(pick(old.Organisations, names), pick(next.Organisations, names))
	}
	if names := changed[KindOwner]; len(names) > 0 {
		der.approvals = maps.Clone(idx.approvals)
		for name := range names {
			delete(der.approvals, name)
		}
		for _, own := range pick(next.Owners, names) {
			der.approvals[own.Name] = approvedTeams(own)
		}
	}
	if names := changed[KindEndpoint]; len(names) > 0 {
		der.deriveEndpoints(pick(old.Endpoints, names), pick(next.Endpoints, names))
	}
	if len(changed[KindPool]) > 0 {
		der.buildModelPools()
	}
	if len(changed[KindClass]) > 0 {
		der.buildRanks()
	}
	return &der
}

// deriveEndpoints updates the tables of pools and addresses. It copies what it changes, because the old index
// shares these tables. The parameters are the changed endpoints as in the old and in the next configuration.
func (idx *Index) deriveEndpoints(old, added []Endpoint) {
	idx.pools, idx.addresses = maps.Clone(idx.pools), maps.Clone(idx.addresses)
	removed, touched := map[string]bool{}, map[string]bool{}
	for _, edp := range old {
		removed[edp.Name], touched[edp.Pool] = true, true
		delete(idx.addresses, edp.Address)
	}
	for pool := range touched {
		idx.pools[pool] = slices.DeleteFunc(slices.Clone(idx.pools[pool]), func(edp Endpoint) bool { return removed[edp.Name] })
	}
	for _, edp := range added {
		if !touched[edp.Pool] {
			idx.pools[edp.Pool], touched[edp.Pool] = slices.Clone(idx.pools[edp.Pool]), true
		}
		idx.pools[edp.Pool] = append(idx.pools[edp.Pool], edp)
		idx.addresses[edp.Address] = edp.Name
	}
	for pool := range touched {
		if len(idx.pools[pool]) == 0 {
			delete(idx.pools, pool)
		}
		slices.SortFunc(idx.pools[pool], func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
	}
}

// pick returns those of the named objects that exist.
func pick[T any](items map[string]T, names map[string]bool) []T {
	var picked []T
	for name := range names {
		if item, ok := items[name]; ok {
			picked = append(picked, item)
		}
	}
	return picked
}
