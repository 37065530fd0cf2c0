package inventory

import (
	"encoding/hex"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"papayacroft/finding"
)

const (
	maxNameBytes          = 100
	maxClassDeadline      = time.Hour
	maxOutputTokens       = 1 << 20
	credentialDigestBytes = 32
)

// NameRule describes the allowed names; findings quote it.
const NameRule = "1 to 100 letters, digits, dots, dashes and underscores that start with a lower-case letter or digit"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-zA-Z0-9._-]*$`)

// pathPattern allows the unreserved characters of URLs and one wildcard at the end.
var pathPattern = regexp.MustCompile(`^(/[a-zA-Z0-9._~-]+)+(/\*)?$`)

var allowedMethods = []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodPatch}

// Validate checks the configuration as a whole and returns every finding.
// Its result depends on the configuration alone, so that all daemons accept or reject the same publishes.
func (cfg *Configuration) Validate() finding.List {
	var lst finding.List
	cfg.validateOrganisations(&lst)
	cfg.validateOwners(&lst)
	cfg.validateModels(&lst)
	cfg.validatePools(&lst)
	cfg.validateEndpoints(&lst)
	cfg.validateClasses(&lst)
	return lst
}

func (cfg *Configuration) validateOrganisations(lst *finding.List) {
	usedDigests := map[string]string{}
	for _, name := range sortedKeys(cfg.Organisations) {
		validateOrganisation(lst, name, cfg.Organisations[name], usedDigests)
	}
}

func validateOrganisation(lst *finding.List, name string, org Organisation, usedDigests map[string]string) {
	path := "organisations[" + name + "]"
	validateName(lst, path, name, org.Name)
	validateLimits(lst, path+".limits", org.Limits)
	if len(org.Teams) == 0 {
		lst.Add(path+".teams", "organisation %q has no team", name)
	}
	teams := map[string]bool{}
	for _, tem := range org.Teams {
		teamPath := fmt.Sprintf("%s.teams[%s]", path, tem.Name)
		validateName(lst, teamPath, tem.Name, tem.Name)
		if teams[tem.Name] {
			lst.Add(teamPath, "team %q is given twice", tem.Name)
		}
		teams[tem.Name] = true
		validateLimits(lst, teamPath+".limits", tem.Limits)
		validateDigests(lst, teamPath+".credentialDigests", name+"/"+tem.Name, tem.CredentialDigests, usedDigests)
	}
}

func validateDigests(lst *finding.List, path, team string, digests []string, used map[string]string) {
	if len(digests) == 0 {
		lst.Add(path, "team %q has no credential digest", team)
	}
	for i, dig := range digests {
		digestPath := fmt.Sprintf("%s[%d]", path, i)
		raw, err := hex.DecodeString(dig)
		if err != nil || len(raw) != credentialDigestBytes || dig != strings.ToLower(dig) {
			lst.Add(digestPath, "a SHA-256 digest of 64 lower-case hexadecimal digits is expected")
			continue
		}
		if other, ok := used[dig]; ok {
			lst.Add(digestPath, "credential digest is used by team %q already", other)
		}
		used[dig] = team
	}
}

func validateLimits(lst *finding.List, path string, lim Limits) {
	if !(lim.RequestsPerSecond >= 0) || math.IsInf(lim.RequestsPerSecond, 0) {
		lst.Add(path+".requestsPerSecond", "value %v is not allowed; 0 (no limit) or more is expected", lim.RequestsPerSecond)
	}
	if lim.Concurrent < 0 {
		lst.Add(path+".concurrent", "value %d is not allowed; 0 (no limit) or more is expected", lim.Concurrent)
	}
}

func (cfg *Configuration) validateOwners(lst *finding.List) {
	for _, name := range sortedKeys(cfg.Owners) {
		cfg.validateOwner(lst, name, cfg.Owners[name])
	}
}

func (cfg *Configuration) validateOwner(lst *finding.List, name string, own Owner) {
	path := "owners[" + name + "]"
	validateName(lst, path, name, own.Name)
	seen := map[string]bool{}
	for i, ref := range own.ApprovedTeams {
		refPath := fmt.Sprintf("%s.approvedTeams[%d]", path, i)
		if _, ok := cfg.Team(ref); !ok {
			lst.Add(refPath, "approved team %q does not exist; organisation/team is expected", ref)
		}
		if seen[ref] {
			lst.Add(refPath, "team %q is approved twice", ref)
		}
		seen[ref] = true
	}
}

func (cfg *Configuration) validateModels(lst *finding.List) {
	for _, name := range sortedKeys(cfg.Models) {
		validateModel(lst, name, cfg.Models[name])
	}
}

func validateModel(lst *finding.List, name string, mdl Model) {
	path := "models[" + name + "]"
	validateName(lst, path, name, mdl.Name)
	if !ValidName(mdl.Version) {
		lst.Add(path+".version", "version %q is not allowed; %s are expected", mdl.Version, NameRule)
	}
	if mdl.MaxTokens < 1 || mdl.MaxTokens > maxOutputTokens {
		lst.Add(path+".maxTokens", "value %d is not allowed; 1 to %d is expected", mdl.MaxTokens, maxOutputTokens)
	}
	if mdl.WeightBytes < 0 {
		lst.Add(path+".weightBytes", "value %d is not allowed; 0 or more bytes are expected", mdl.WeightBytes)
	}
	if mdl.MinEngines < 0 {
		lst.Add(path+".minEngines", "value %d is not allowed; 0 or more is expected", mdl.MinEngines)
	}
}

func (cfg *Configuration) validatePools(lst *finding.List) {
	for _, name := range sortedKeys(cfg.Pools) {
		cfg.validatePool(lst, name, cfg.Pools[name])
	}
}

func (cfg *Configuration) validatePool(lst *finding.List, name string, pol Pool) {
	path := "pools[" + name + "]"
	validateName(lst, path, name, pol.Name)
	switch pol.Kind {
	case PoolKindEngine:
		if len(pol.Models) == 0 {
			lst.Add(path+".models", "engine pool %q has no model", name)
		}
		if len(pol.Classes) == 0 {
			lst.Add(path+".classes", "engine pool %q has no class", name)
		}
		if len(pol.Operations) > 0 {
			lst.Add(path+".operations", "engine pool %q can't have operations; they belong to service pools", name)
		}
	case PoolKindService:
		if len(pol.Operations) == 0 {
			lst.Add(path+".operations", "service pool %q has no operation", name)
		}
		if len(pol.Models) > 0 {
			lst.Add(path+".models", "service pool %q can't have models; they belong to engine pools", name)
		}
	default:
		lst.Add(path+".kind", "kind %q is not allowed; engine or service is expected", pol.Kind)
	}
	cfg.validateReferences(lst, path, pol)
}

func (cfg *Configuration) validateReferences(lst *finding.List, path string, pol Pool) {
	for i, mdl := range pol.Models {
		if _, ok := cfg.Models[mdl]; !ok {
			lst.Add(fmt.Sprintf("%s.models[%d]", path, i), "model %q does not exist", mdl)
		}
	}
	for i, cls := range pol.Classes {
		if _, ok := cfg.Classes[cls]; !ok {
			lst.Add(fmt.Sprintf("%s.classes[%d]", path, i), "class %q does not exist", cls)
		}
	}
	names := map[string]bool{}
	for _, opr := range pol.Operations {
		operationPath := fmt.Sprintf("%s.operations[%s]", path, opr.Name)
		validateName(lst, operationPath, opr.Name, opr.Name)
		if names[opr.Name] {
			lst.Add(operationPath, "operation %q is given twice", opr.Name)
		}
		names[opr.Name] = true
		if !slices.Contains(allowedMethods, opr.Method) {
			lst.Add(operationPath+".method", "method %q is not allowed; one of %s is expected", opr.Method, strings.Join(allowedMethods, ", "))
		}
		if !pathPattern.MatchString(opr.Path) {
			lst.Add(operationPath+".path", "path %q is not allowed; a path such as /jobs or /jobs/* is expected", opr.Path)
		}
		if _, ok := cfg.Classes[opr.Class]; !ok {
			lst.Add(operationPath+".class", "class %q does not exist", opr.Class)
		}
	}
}

func (cfg *Configuration) validateEndpoints(lst *finding.List) {
	addresses := map[string]string{}
	for _, name := range sortedKeys(cfg.Endpoints) {
		cfg.validateEndpoint(lst, name, cfg.Endpoints[name], addresses)
	}
}

func (cfg *Configuration) validateEndpoint(lst *finding.List, name string, edp Endpoint, addresses map[string]string) {
	path := "endpoints[" + name + "]"
	validateName(lst, path, name, edp.Name)
	if _, ok := cfg.Pools[edp.Pool]; !ok {
		lst.Add(path+".pool", "pool %q does not exist", edp.Pool)
	}
	if edp.Owner == "" {
		lst.Add(path+".owner", "endpoint %q has no owner", name)
	} else if _, ok := cfg.Owners[edp.Owner]; !ok {
		lst.Add(path+".owner", "owner %q does not exist", edp.Owner)
	}
	if err := ValidateAddress(edp.Address); err != nil {
		lst.Add(path+".address", "%s", err)
	} else if other, ok := addresses[edp.Address]; ok {
		lst.Add(path+".address", "address %s is used by endpoint %q already", edp.Address, other)
	}
	addresses[edp.Address] = name
	if !ValidName(edp.FailureDomain) {
		lst.Add(path+".failureDomain", "failure domain %q is not allowed; %s are expected", edp.FailureDomain, NameRule)
	}
	if edp.State != "" && edp.State != EndpointServing && edp.State != EndpointDraining {
		lst.Add(path+".state", "state %q is not allowed; serving or draining is expected", edp.State)
	}
}

func (cfg *Configuration) validateClasses(lst *finding.List) {
	for _, name := range sortedKeys(cfg.Classes) {
		cls := cfg.Classes[name]
		path := "classes[" + name + "]"
		validateName(lst, path, name, cls.Name)
		for i, other := range cls.Outranks {
			if _, ok := cfg.Classes[other]; !ok {
				lst.Add(fmt.Sprintf("%s.outranks[%d]", path, i), "class %q does not exist", other)
			}
		}
		if !(cls.Worth > 0) || math.IsInf(cls.Worth, 0) {
			lst.Add(path+".worth", "value %v is not allowed; more than 0 is expected", cls.Worth)
		}
		if cls.Deadline <= 0 || time.Duration(cls.Deadline) > maxClassDeadline {
			lst.Add(path+".deadline", "value %s is not allowed; more than 0 and at most %s is expected", time.Duration(cls.Deadline), maxClassDeadline)
		}
		if cfg.outranksItself(name) {
			lst.Add(path+".outranks", "class %q outranks itself through a cycle", name)
		}
	}
}

func (cfg *Configuration) outranksItself(start string) bool {
	visited := map[string]bool{}
	var visit func(name string) bool
	visit = func(name string) bool {
		for _, other := range cfg.Classes[name].Outranks {
			if other == start {
				return true
			}
			if !visited[other] {
				visited[other] = true
				if visit(other) {
					return true
				}
			}
		}
		return false
	}
	return visit(start)
}

// ValidateAddress checks that an address is an IP address with a port. Host names are not allowed, because
// processes are reached by IP address.
func ValidateAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || port == "0" {
		return fmt.Errorf("address %q is not allowed; IP:port is expected", address)
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("address %q is not allowed; %q is not an IP number with a port", address, host)
	}
	return nil
}

func validateName(lst *finding.List, path, key, name string) {
	switch {
	case name == "":
		lst.Add(path, "name is missing")
	case name != key:
		lst.Add(path, "name %q differs from its key %q", name, key)
	case !ValidName(name):
		lst.Add(path, "name %q is not allowed; %s are expected", name, NameRule)
	}
}

// ValidName reports whether a name follows NameRule.
func ValidName(name string) bool {
	return len(name) <= maxNameBytes && namePattern.MatchString(name)
}

func sortedKeys[T any](items map[string]T) []string {
	keys := make([]string, 0, len(items))
	for key := range items {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
