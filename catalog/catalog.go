// Package catalog holds a published configuration and the endpoints that registered for its services.
package catalog

import (
	"net"
	"strings"
	"time"
)

// Kind says how often a request may run.
type Kind string

// The kinds of routes.
const (
	KindIdempotent Kind = "idempotent"
	KindOnce       Kind = "once"
	KindStream     Kind = "stream"
)

// Share is one service of a route and its part of the route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Route says where the requests of a host and path prefix go.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Shares are the services that serve the route; there is at least one.
	Shares []Share
	// Timeout bounds the time until a request is answered.
	Timeout time.Duration
	// Target is the time within which an answer, or the first event of a stream, is on time.
	Target time.Duration
	// PauseTarget is the longest pause between two events of a stream that is on time.
	PauseTarget time.Duration
	// Priority is the rank of the route's requests; 0 goes first.
	Priority int
	// Attempts is the number of endpoints to which one request may be sent.
	Attempts int
	// Public routes take requests without a key.
	Public bool
	// Resumable streams may go on at another endpoint after the last event that was received.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (rou *Route) Repeatable() bool {
	return rou.Kind == KindIdempotent || rou.Kind == KindStream && rou.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// CapacityTokens is the memory for prompts and generated tokens.
	CapacityTokens int
	// TokensPerEvent is the number of tokens that one event of a stream holds.
	TokensPerEvent int
	// Moves and Backups tell whether the memory of a running generation can be copied on request, or as it grows.
	Moves, Backups bool
	// TokenBytes is the size of one token's memory, and LinkBytesPerSecond the speed at which copies are sent.
	TokenBytes, LinkBytesPerSecond float64
	// CopyLifetime is how long an engine keeps a copy that nobody uses.
	CopyLifetime time.Duration
}

// distantCopyFactor is how much longer a copy takes to an engine in another failure domain.
const distantCopyFactor = 2

// CopyTime is the time to copy the memory of some tokens over an idle link; 0 if the engine is nil,
// as that of a service which a newer version lacks.
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

// EventTokens is the number of tokens that some events of a stream hold.
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
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Organisation is the holder of some keys.
type Organisation struct {
	Name string
	// Priority replaces the priority of routes if HasPriority is set.
	Priority    int
	HasPriority bool
	Keys        []string
}

// Catalog is one version of the configuration with indexes for requests.
type Catalog struct {
	Version       int64
	Routes        []Route
	Services      map[string]Service
	Organisations []Organisation
	Limits        Limits
	// Raw is the published document, which daemons hand to each other.
	Raw []byte

	byHost map[string][]*Route
	byKey  map[string]*Organisation
}

// NewCatalog indexes a configuration.
func NewCatalog(version int64, routes []Route, services []Service, orgs []Organisation) *Catalog {
	cat := &Catalog{
		Version: version, Routes: routes, Organisations: orgs,
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
			cat.byKey[key] = &orgs[i]
		}
	}
	return cat
}

// Match returns the route of the host with the longest prefix of the path, or nil.
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

// RequiresKeys reports whether routes that are not public need a key.
func (cat *Catalog) RequiresKeys() bool {
	return len(cat.Organisations) > 0
}

// Holder returns the organisation that holds a key, or nil.
func (cat *Catalog) Holder(key string) *Organisation {
	return cat.byKey[key]
}

// Pick returns the service for a request by the weights of a route; draw is in [0, 1).
func (rou *Route) Pick(draw float64) string {
	total := 0.0
	for _, shr := range rou.Shares {
		total += shr.Weight
	}
	left := draw * total
	for _, shr := range rou.Shares {
		if left < shr.Weight {
			return shr.Service
		}
		left -= shr.Weight
	}
	return rou.Shares[len(rou.Shares)-1].Service
}
