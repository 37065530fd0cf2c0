package lint

import (
	"maps"
	"net"
	"slices"
	"strings"

	"papayacroft/catalog"
)

// checkMatching finds routes that catalog.Catalog.Match never returns.
func (lst *list) checkMatching(cat *catalog.Catalog) {
	type key struct{ host, prefix string }
	first := map[key]int{}
	names := map[string]bool{}
	for i := range cat.Routes {
		rou := &cat.Routes[i]
		if names[rou.Name] {
			lst.warn(inRoute(i, FieldName), "another route has the name %q; logs and metrics do not tell them apart", rou.Name)
		}
		names[rou.Name] = true
		if why := hostProblem(rou.Host); why != "" {
			lst.warn(inRoute(i, FieldHost), "no request can have the host %q: %s", rou.Host, why)
		}
		if why := prefixProblem(rou.PathPrefix); why != "" {
			lst.warn(inRoute(i, FieldPathPrefix), "no request can have the path prefix %q: %s", rou.PathPrefix, why)
		}
		place := key{strings.ToLower(rou.Host), rou.PathPrefix}
		if other, ok := first[place]; ok {
			lst.warn(inRoute(i, FieldNone), "route is hidden by route %q, which has the same host and path prefix and comes first", cat.Routes[other].Name)
			continue
		}
		first[place] = i
	}
	for i := range cat.Routes {
		// Every path begins with a slash, so the longer of these two prefixes always wins.
		if other, ok := first[key{strings.ToLower(cat.Routes[i].Host), "/"}]; ok && cat.Routes[i].PathPrefix == "" {
			lst.warn(inRoute(i, FieldNone), "route is hidden by route %q, whose path prefix / is longer and matches every path", cat.Routes[other].Name)
		}
	}
}

// hostProblem returns why no request matches a host, or "". The port of a request's host is removed before it is compared.
func hostProblem(host string) string {
	if host == "" {
		return "it is empty"
	}
	if strings.ContainsFunc(host, func(chr rune) bool { return chr <= ' ' || chr == 0x7f }) || strings.ContainsAny(host, "/?#@") {
		return "it contains a character that is not allowed in a host"
	}
	if _, _, err := net.SplitHostPort(host); err == nil {
		return "it has a port, and hosts are compared without the port"
	}
	return ""
}

// prefixProblem returns why no escaped path of a request begins with a prefix, or "".
func prefixProblem(prefix string) string {
	if prefix != "" && prefix[0] != '/' {
		return "paths begin with a slash"
	}
	for i := range len(prefix) {
		if prefix[i] <= ' ' || prefix[i] >= 0x7f || strings.IndexByte("\"<>\\^`{|}?#", prefix[i]) >= 0 {
			return "it contains a character that is escaped in paths or ends them"
		}
	}
	return ""
}

// checkShares finds services without requests and shares that get none.
func (lst *list) checkShares(cat *catalog.Catalog) {
	reached := map[string]bool{}
	for i := range cat.Routes {
		rou := &cat.Routes[i]
		positive := false
		for j, shr := range rou.Shares {
			plc := inRoute(i, FieldShares).item(j)
			switch _, ok := cat.Services[shr.Service]; {
			case shr.Withdrawn:
				lst.warn(plc, "service %q does not exist and gets no requests", shr.Service)
			case !ok:
				lst.warn(plc, "service %q does not exist", shr.Service)
			}
			switch {
			case shr.Weight > 0:
				positive, reached[shr.Service] = positive || !shr.Withdrawn, true
			case shr.Weight < 0:
				lst.warn(plc, "share of service %q has the negative weight %v", shr.Service, shr.Weight)
			default:
				lst.warn(plc, "share of service %q has weight 0 and gets no requests", shr.Service)
			}
		}
		switch {
		case !positive:
			lst.warn(inRoute(i, FieldShares), "no share has a positive weight and a service that exists; the route refuses all requests")
		case rou.Closed != "":
			lst.warn(inRoute(i, FieldNone), "the route refuses all requests: %s", rou.Closed)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(cat.Services)) {
		if !reached[name] {
			lst.warn(inService(name, FieldNone), "no route leads to service %q", name)
		}
	}
}

// checkOrganisations finds organisations that no request can belong to, and keys that identify another organisation or none.
func (lst *list) checkOrganisations(cat *catalog.Catalog) {
	names := map[string]bool{}
	holders := map[string]int{}
	if len(cat.Organisations) == 0 && !cat.Keyless {
		lst.warn(inSection(SectionOrganisations, FieldNone), "the list of organisations is empty: routes that are not public refuse all requests")
	}
	for i, org := range cat.Organisations {
		if names[org.Name] {
			lst.warn(inOrganisation(i, FieldName), "another organisation has the name %q", org.Name)
		}
		names[org.Name] = true
		if len(org.Keys) == 0 {
			lst.warn(inOrganisation(i, FieldNone), "organisation %q has no keys", org.Name)
		}
		for j, key := range org.Keys {
			plc := inOrganisation(i, FieldKeys).item(j)
			switch holder, held := holders[key]; {
			case held && holder == i:
				lst.warn(plc, "key of organisation %q is listed twice", org.Name)
			case held:
				lst.warn(plc, "key of organisation %q is also a key of organisation %q; it identifies %q only",
					cat.Organisations[holder].Name, org.Name, org.Name)
			}
			holders[key] = i
			switch {
			case key == "":
				lst.warn(plc, "empty key: it identifies no organisation, and requests without a key are refused")
			case strings.TrimSpace(key) != key || strings.ContainsFunc(key, func(chr rune) bool { return chr < ' ' || chr == 0x7f }):
				lst.warn(plc, "no request can have this key: it begins or ends with a space or contains a control character")
			}
		}
	}
}
