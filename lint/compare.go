package lint

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"papayacroft/catalog"
)

// Compare returns the differences of a configuration from the one in force. Places refer to the new configuration.
func Compare(before, after *catalog.Catalog) []Finding {
	var lst list
	lst.compareRoutes(before, after)
	lst.compareServices(before, after)
	lst.compareOrganisations(before, after)
	old, now := before.Limits, after.Limits
	lst.value(inSection(SectionLimits, FieldMaxHeaderBytes), "limit for request heads", limit(old.MaxHeaderBytes), limit(now.MaxHeaderBytes))
	lst.value(inSection(SectionLimits, FieldMaxBodyBytes), "limit for request bodies", limit(old.MaxBodyBytes), limit(now.MaxBodyBytes))
	lst.value(inSection(SectionLimits, FieldHeaderTimeout), "timeout for request heads", limit(old.HeaderTimeout), limit(now.HeaderTimeout))
	lst.value(inSection(SectionLimits, FieldIdleTimeout), "timeout of idle connections", limit(old.IdleTimeout), limit(now.IdleTimeout))
	if after.Version < before.Version || after.Version == before.Version && len(lst) > 0 {
		lst.warn(inSection(SectionVersion, FieldNone), "version %d is not above version %d in force; daemons ignore it", after.Version, before.Version)
	}
	return lst
}

// limit returns a limit as it is printed.
func limit[T int | int64 | time.Duration](value T) string {
	if value == catalog.Unstated {
		return "the default"
	}
	return fmt.Sprint(value)
}

// value adds a difference if two values differ.
func (lst *list) value(plc Place, what string, before, after any) {
	if before != after {
		lst.change(plc, "%s changed from %v to %v", what, before, after)
	}
}

// pair holds the positions of an entry in both configurations; either is whole if the entry is not there.
type pair struct{ before, after int }

// pairs matches entries by name, and those of the same name in their order.
func pairs(before, after []string) []pair {
	waiting := map[string][]int{}
	for i, name := range before {
		waiting[name] = append(waiting[name], i)
	}
	var matched []pair
	found := make([]bool, len(before))
	for i, name := range after {
		one := pair{whole, i}
		if left := waiting[name]; len(left) > 0 {
			one.before, waiting[name] = left[0], left[1:]
			found[one.before] = true
		}
		matched = append(matched, one)
	}
	for i := range before {
		if !found[i] {
			matched = append(matched, pair{i, whole})
		}
	}
	return matched
}

func routeNames(cat *catalog.Catalog) []string {
	var names []string
	for i := range cat.Routes {
		names = append(names, cat.Routes[i].Name)
	}
	return names
}

func (lst *list) compareRoutes(before, after *catalog.Catalog) {
	for _, one := range pairs(routeNames(before), routeNames(after)) {
		switch {
		case one.before == whole:
			rou := &after.Routes[one.after]
			lst.change(inRoute(one.after, FieldNone), "route %q added: host %q, path prefix %q, %s", rou.Name, rou.Host, rou.PathPrefix, services(rou))
		case one.after == whole:
			rou := &before.Routes[one.before]
			lst.change(inSection(SectionRoutes, FieldNone), "route %q dropped: host %q, path prefix %q, %s", rou.Name, rou.Host, rou.PathPrefix, services(rou))
		default:
			lst.compareRoute(one.after, &before.Routes[one.before], &after.Routes[one.after])
		}
	}
}

func (lst *list) compareRoute(index int, before, after *catalog.Route) {
	if !slices.Equal(before.Shares, after.Shares) {
		lst.change(inRoute(index, FieldShares), "route %q moved from %s to %s", after.Name, services(before), services(after))
	}
	for _, cmp := range []struct {
		field         Field
		what          string
		before, after any
	}{
		{FieldHost, "host", before.Host, after.Host},
		{FieldPathPrefix, "path prefix", before.PathPrefix, after.PathPrefix},
		{FieldKind, "kind", before.Kind, after.Kind},
		{FieldTimeout, "timeout", before.Timeout, after.Timeout},
		{FieldTarget, "latency target", before.Target, after.Target},
		{FieldPauseTarget, "pause target", before.PauseTarget, after.PauseTarget},
		{FieldPriority, "priority", before.Priority, after.Priority},
		{FieldAttempts, "attempts", before.Attempts, after.Attempts},
		{FieldPublic, "access without a key", before.Public, after.Public},
		{FieldResumable, "resumption at another endpoint", before.Resumable, after.Resumable},
	} {
		lst.value(inRoute(index, cmp.field), fmt.Sprintf("route %q: %s", after.Name, cmp.what), cmp.before, cmp.after)
	}
}

// services describes the services of a route, with their weights if there are several.
func services(rou *catalog.Route) string {
	if len(rou.Shares) == 1 {
		return fmt.Sprintf("service %q", rou.Shares[0].Service)
	}
	var parts []string
	for _, shr := range rou.Shares {
		parts = append(parts, fmt.Sprintf("%q (weight %v)", shr.Service, shr.Weight))
	}
	return "services " + strings.Join(parts, ", ")
}

func (lst *list) compareServices(before, after *catalog.Catalog) {
	for _, name := range slices.Sorted(maps.Keys(after.Services)) {
		now := after.Services[name]
		old, ok := before.Services[name]
		if !ok {
			lst.change(inService(name, FieldNone), "service %q added", name)
			continue
		}
		lst.value(inService(name, FieldHealthPath), fmt.Sprintf("service %q: health path", name), old.HealthPath, now.HealthPath)
		lst.value(inService(name, FieldMaxConnections), fmt.Sprintf("service %q: connections", name), old.MaxConnections, now.MaxConnections)
		switch plc := inService(name, FieldEngine); {
		case old.Engine == nil && now.Engine != nil:
			lst.change(plc, "service %q now has model engines", name)
		case old.Engine != nil && now.Engine == nil:
			lst.change(plc, "service %q no longer has model engines", name)
		case old.Engine != nil && *old.Engine != *now.Engine:
			lst.compareEngines(plc, name, *old.Engine, *now.Engine)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before.Services)) {
		if _, ok := after.Services[name]; !ok {
			lst.change(inSection(SectionServices, FieldNone), "service %q dropped", name)
		}
	}
}

func (lst *list) compareEngines(plc Place, service string, before, after catalog.Engine) {
	count := len(*lst)
	for _, cmp := range []struct {
		what          string
		before, after any
	}{
		{"slots", before.Slots, after.Slots},
		{"memory in tokens", before.CapacityTokens, after.CapacityTokens},
		{"tokens of an event", before.TokensPerEvent, after.TokensPerEvent},
		{"copies on request", before.Moves, after.Moves},
		{"continuous copies", before.Backups, after.Backups},
		{"bytes of a token", before.TokenBytes, after.TokenBytes},
		{"link in bytes per second", before.LinkBytesPerSecond, after.LinkBytesPerSecond},
		{"lifetime of a copy", before.CopyLifetime, after.CopyLifetime},
	} {
		lst.value(plc, fmt.Sprintf("service %q: engines: %s", service, cmp.what), cmp.before, cmp.after)
	}
	if len(*lst) == count {
		lst.change(plc, "service %q: engines changed", service)
	}
}

func organisationNames(cat *catalog.Catalog) []string {
	var names []string
	for _, org := range cat.Organisations {
		names = append(names, org.Name)
	}
	return names
}

func (lst *list) compareOrganisations(before, after *catalog.Catalog) {
	for _, one := range pairs(organisationNames(before), organisationNames(after)) {
		switch {
		case one.before == whole:
			org := after.Organisations[one.after]
			lst.change(inOrganisation(one.after, FieldNone), "organisation %q added with %s", org.Name, keys(len(org.Keys)))
		case one.after == whole:
			org := before.Organisations[one.before]
			lst.change(inSection(SectionOrganisations, FieldNone), "organisation %q dropped with %s", org.Name, keys(len(org.Keys)))
		default:
			lst.compareOrganisation(one.after, &before.Organisations[one.before], &after.Organisations[one.after])
		}
	}
	plc := inSection(SectionOrganisations, FieldNone)
	switch {
	case before.Keyless && !after.Keyless:
		lst.change(plc, "routes that are not public now need a key")
	case !before.Keyless && after.Keyless:
		lst.change(plc, "the list of organisations is gone: routes that are not public need no key any more")
	case len(before.Organisations) > 0 && len(after.Organisations) == 0:
		lst.change(plc, "no organisation is left: routes that are not public refuse all requests")
	}
	moved := 0
	for key, org := range holders(before) {
		if now := after.Holder(key); now != nil && now.Name != org {
			moved++
		}
	}
	if moved > 0 {
		lst.change(inSection(SectionOrganisations, FieldNone), "%s moved to another organisation", keys(moved))
	}
}

func (lst *list) compareOrganisation(index int, before, after *catalog.Organisation) {
	if gone := missing(before.Keys, after.Keys); gone > 0 {
		lst.change(inOrganisation(index, FieldKeys), "organisation %q: %s withdrawn", after.Name, keys(gone))
	}
	if added := missing(after.Keys, before.Keys); added > 0 {
		lst.change(inOrganisation(index, FieldKeys), "organisation %q: %s added", after.Name, keys(added))
	}
	lst.value(inOrganisation(index, FieldPriority), fmt.Sprintf("organisation %q: priority", after.Name), priority(before), priority(after))
}

// holders returns the name of the organisation that each key identifies.
func holders(cat *catalog.Catalog) map[string]string {
	names := map[string]string{}
	for _, org := range cat.Organisations {
		for _, key := range org.Keys {
			names[key] = cat.Holder(key).Name
		}
	}
	return names
}

// missing returns how many different keys of one list the other does not have.
func missing(from, other []string) int {
	left := map[string]bool{}
	for _, key := range from {
		left[key] = true
	}
	for _, key := range other {
		delete(left, key)
	}
	return len(left)
}

func keys(count int) string {
	if count == 1 {
		return "1 key"
	}
	return fmt.Sprintf("%d keys", count)
}

func priority(org *catalog.Organisation) string {
	if !org.HasPriority {
		return "that of the route"
	}
	return fmt.Sprint(org.Priority)
}
