package lint

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"papayacroft/catalog"
)

// checkLimits finds limits that contradict each other.
func (lst *list) checkLimits(cat *catalog.Catalog, endpoints map[string]int) {
	lst.checkZeroLimits(&cat.Limits)
	for i := range cat.Routes {
		lst.checkRouteLimits(i, &cat.Routes[i], endpoints)
	}
	for i, org := range cat.Organisations {
		if org.HasPriority {
			lst.checkPriority(inOrganisation(i, FieldPriority), org.Priority)
		}
		for j, key := range org.Keys {
			if cat.Limits.MaxHeaderBytes > 0 && len(key) >= cat.Limits.MaxHeaderBytes {
				lst.warn(inOrganisation(i, FieldKeys).item(j), "key is not shorter than the limit for request heads, %d bytes", cat.Limits.MaxHeaderBytes)
			}
		}
	}
}

// checkZeroLimits finds limits that no request can keep.
func (lst *list) checkZeroLimits(lim *catalog.Limits) {
	for _, one := range []struct {
		field  Field
		zero   bool
		effect string
	}{
		{FieldMaxHeaderBytes, lim.MaxHeaderBytes == 0, "all requests are refused"},
		{FieldMaxBodyBytes, lim.MaxBodyBytes == 0, "all requests with a body are refused"},
		{FieldHeaderTimeout, lim.HeaderTimeout == 0, "all requests whose head does not arrive at once are refused"},
		{FieldIdleTimeout, lim.IdleTimeout == 0, "each connection ends with its first answer"},
	} {
		if one.zero {
			lst.warn(inSection(SectionLimits, one.field), "limit is 0: %s", one.effect)
		}
	}
}

func (lst *list) checkRouteLimits(index int, rou *catalog.Route, endpoints map[string]int) {
	// Without a timeout, the default deadline of the daemons applies.
	if rou.Timeout > 0 && rou.Target > rou.Timeout {
		lst.warn(inRoute(index, FieldTarget), "latency target %v is over the timeout %v", rou.Target, rou.Timeout)
	}
	if rou.Timeout > 0 && rou.PauseTarget > rou.Timeout {
		lst.warn(inRoute(index, FieldPauseTarget), "pause target %v is over the timeout %v", rou.PauseTarget, rou.Timeout)
	}
	lst.checkPriority(inRoute(index, FieldPriority), rou.Priority)
	for _, shr := range rou.Shares {
		if known, ok := endpoints[shr.Service]; ok && shr.Weight > 0 && rou.Attempts > known {
			lst.warn(inRoute(index, FieldAttempts), "number of attempts, %d, is over the number of known endpoints of service %q, %d", rou.Attempts, shr.Service, known)
		}
	}
}

func (lst *list) checkPriority(plc Place, priority int) {
	if priority < 0 {
		lst.warn(plc, "priority %d is above the highest priority, 0, and is not passed to endpoints", priority)
	}
}

// checkPriorities finds inverted priorities: routes whose requests reach their timeout while requests that go before
// them at the same service can still wait without missing their latency target. A shorter target alone is no finding,
// since a patient route may well be the more urgent one.
func (lst *list) checkPriorities(cat *catalog.Catalog) {
	byService := map[string][]int{}
	for i := range cat.Routes {
		for _, shr := range cat.Routes[i].Shares {
			routes := byService[shr.Service]
			if shr.Weight > 0 && (len(routes) == 0 || routes[len(routes)-1] != i) {
				byService[shr.Service] = append(routes, i)
			}
		}
	}
	patient := map[int]int{} // by route: the route with a higher priority and the longest latency target
	for _, name := range slices.Sorted(maps.Keys(byService)) {
		for i, other := range patientRoutes(cat, byService[name]) {
			if old, ok := patient[i]; !ok || target(cat, other) > target(cat, old) {
				patient[i] = other
			}
		}
	}
	for i := range cat.Routes {
		rou := &cat.Routes[i]
		if other, ok := patient[i]; ok && rou.Timeout > 0 && rou.Timeout < target(cat, other) {
			lst.warn(inRoute(i, FieldPriority), "inverted priorities: timeout %v is under the latency target %v of route %q, which has a higher priority at the same service",
				rou.Timeout, target(cat, other), cat.Routes[other].Name)
		}
	}
}

// patientRoutes returns, for each route of a service, the one with the longest latency target among those with a higher
// priority, if there are any.
func patientRoutes(cat *catalog.Catalog, routes []int) map[int]int {
	slices.SortStableFunc(routes, func(a, b int) int { return cmp.Compare(cat.Routes[a].Priority, cat.Routes[b].Priority) })
	found := map[int]int{}
	longest, above := whole, whole // among the routes so far, and among those with a higher priority than the current one
	for n, i := range routes {
		if n > 0 && cat.Routes[routes[n-1]].Priority < cat.Routes[i].Priority {
			above = longest
		}
		if above != whole {
			found[i] = above
		}
		if longest == whole || target(cat, i) > target(cat, longest) {
			longest = i
		}
	}
	return found
}

func target(cat *catalog.Catalog, index int) time.Duration {
	return cat.Routes[index].Target
}
