// Package catalog holds a published configuration and the state of the endpoints that registered for its services.
package catalog

import (
	"net"
	"strings"
	"time"
)

// Kind is the kind of a route; it determines whether a request may run more than once.
type Kind string

// The kinds of routes.
const (
	// KindIdempotent is for requests that may run more than once.
	KindIdempotent Kind = "idempotent"
	// KindOnce is for requests that must run at most once.
	KindOnce Kind = "once"
	// KindStream is for requests that are answered with a stream of events; they may run again only
	// if the route is resumable.
	KindStream Kind = "stream"
)

// Share is one service of a route, with a weight in proportion to which it receives the route's requests.
type Share struct {
	Service string
	Weight  float64
	// Withdrawn is true if the configuration has a list of services without this one, so that it gets no requests.
	Withdrawn bool
}

// takesRequests reports whether requests may go to the share's service.
func (shr *Share) takesRequests() bool {
	return shr.Weight > 0 && !shr.Withdrawn
}

// Route describes how requests with a host and path prefix are served.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Shares are the services that serve the route; there is at least one.
	Shares []Share
	// Timeout is the longest time until a request is answered.
	Timeout time.Duration
	// Target is the latency target of a response, or of the first event of a stream.
	Target time.Duration
	// PauseTarget is the target for the longest pause between two events of a stream.
	PauseTarget time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// Attempts is the largest number of endpoints to which one request may be sent.
	Attempts int
	// Public routes accept requests without a key.
	Public bool
	// Resumable streams may continue at another endpoint after the last event that was received.
	Resumable bool
	// Closed is why the configuration lets the route accept no request; empty if it accepts requests.
	Closed string
}

// Repeatable reports whether a request of the route may run more than once.
func (rou *Route) Repeatable() bool {
	return rou.Kind == KindIdempotent || rou.Kind == KindStream && rou.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// CapacityTokens is the number of prompt tokens and generated tokens for which an engine has memory.
	CapacityTokens int
	// TokensPerEvent is the number of tokens that one event of a stream holds.
	TokensPerEvent int
	// Moves says whether an engine can copy the memory of a running generation on request, and Backups whether it can
	// copy it continuously as it grows.
	Moves, Backups bool
	// TokenBytes is the memory of one token, and LinkBytesPerSecond the speed at which engines send copies.
	TokenBytes, LinkBytesPerSecond float64
	// CopyLifetime is the time after which an engine deletes an unused copy.
	CopyLifetime time.Duration
}

// distantCopyFactor is the factor by which a copy to an engine in another failure domain takes longer.
const distantCopyFactor = 2

// CopyTime returns the time to copy the memory of a number of tokens over an idle link. It returns 0 for a nil engine:
// a newer configuration may no longer contain the service of a running generation.
func (eng *Engine) CopyTime(tokens int, distant bool) time.Duration {
	if eng == nil || eng.LinkBytesPerSecond <= 0 {
		return 0
	}
	seconds := float64(tokens) * eng.TokenBytes / eng.LinkBytesPerSecond
	if distant {
		seconds *= distantCopyFactor
	}
	return time.Duration(seconds * float64(time.Second))
}

// EventTokens returns the number of tokens in a number of events of a stream; for a nil engine an event is one token.
func (eng *Engine) EventTokens(events int) int {
	if eng == nil {
		return events
	}
	return events * eng.TokensPerEvent
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine describes the model engines; it is nil for plain services.
	Engine *Engine
	// ColdTime is the time for which an endpoint is cold after its start, and ColdPerSecond the number of requests a second
	// that a cold one sustains; with 0, cold endpoints have no limit.
	ColdTime      time.Duration
	ColdPerSecond float64
}

// Unstated is a limit that the configuration does not state, so that the daemon's default applies. A limit of 0 allows nothing.
const Unstated = -1

// Limits holds the size limits and time-outs for the connections of callers; each may be Unstated.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Organisation is a group of callers that is identified by its API keys.
type Organisation struct {
	Name string
	// Priority replaces the priority of routes if HasPriority is set.
	Priority    int
	HasPriority bool
	Keys        []string
}

// Catalog is one version of the configuration, indexed by host and by key.
type Catalog struct {
	Version       int64
	Routes        []Route
	Services      map[string]Service
	Organisations []Organisation
	// Keyless is true if the configuration has no list of organisations, so that requests need no key. With an empty list, no key
	// is accepted.
	Keyless bool
	Limits  Limits
	// Raw is the published document, which daemons send to each other.
	Raw []byte

	byHost map[string][]*Route
	byKey  map[string]*Organisation
}

// NewCatalog indexes a configuration. It is Keyless if orgs is nil, and its limits are Unstated.
func NewCatalog(version int64, routes []Route, services []Service, orgs []Organisation) *Catalog {
	cat := &Catalog{
		Version: version, Routes: routes, Organisations: orgs, Keyless: orgs == nil,
		Limits:   Limits{MaxHeaderBytes: Unstated, MaxBodyBytes: Unstated, HeaderTimeout: Unstated, IdleTimeout: Unstated},
		Services: map[string]Service{}, byHost: map[string][]*Route{}, byKey: map[string]*Organisation{},
	}
	for _, svc := range services {
		cat.Services[svc.Name] = svc
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		cat.byHost[host] = append(cat.byHost[host], &routes[i])
	}
	for i := range orgs {
		for _, key := range orgs[i].Keys {
			// A request without a key has the empty one, which must not identify an organisation.
			if key != "" {
				cat.byKey[key] = &orgs[i]
			}
		}
	}
	return cat
}

// Match returns the route of the host whose path prefix is the longest that matches the path, or nil.
func (cat *Catalog) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	var best *Route
	for _, rou := range cat.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, rou.PathPrefix) && (best == nil || len(rou.PathPrefix) > len(best.PathPrefix)) {
			best = rou
		}
	}
	return best
}

// Holder returns the organisation that holds a key, or nil.
func (cat *Catalog) Holder(key string) *Organisation {
	return cat.byKey[key]
}

// Pick returns the service for a request by the weights of a route; draw is in [0, 1). A share without a positive weight, or of a
// withdrawn service, is never picked; it returns "" if there are no others.
func (rou *Route) Pick(draw float64) string {
	total := 0.0
	for _, shr := range rou.Shares {
		if shr.takesRequests() {
			total += shr.Weight
		}
	}
	left, last := draw*total, ""
	for _, shr := range rou.Shares {
		if !shr.takesRequests() {
			continue
		}
		if left < shr.Weight {
			return shr.Service
		}
		left, last = left-shr.Weight, shr.Service
	}
	return last
}
