package inventory

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// TeamRef names a team and its organisation.
type TeamRef struct {
	Organisation string `json:"organisation"`
	Team         string `json:"team"`
}

// String returns organisation/team.
func (ref TeamRef) String() string {
	return ref.Organisation + "/" + ref.Team
}

// Team finds a team by its organisation/team reference.
func (cfg *Configuration) Team(ref string) (Team, bool) {
	organisation, name, ok := strings.Cut(ref, "/")
	if !ok {
		return Team{}, false
	}
	for _, tem := range cfg.Organisations[organisation].Teams {
		if tem.Name == name {
			return tem, true
		}
	}
	return Team{}, false
}

// Index holds a configuration with the look-up tables for the handling of requests; it is immutable once built.
type Index struct {
	Configuration *Configuration
	credentials   credentials
	addresses     map[string]string
	approvals     map[string]map[string]bool
	pools         map[string][]Endpoint
	modelPools    map[string][]string
	ranks         map[string]int
}

// NewIndex builds the look-up tables of a valid configuration.
func NewIndex(cfg *Configuration) *Index {
	idx := &Index{
		Configuration: cfg,
		addresses:     map[string]string{},
		approvals:     map[string]map[string]bool{},
		pools:         map[string][]Endpoint{},
	}
	for _, org := range cfg.Organisations {
		eachDigest([]Organisation{org}, idx.credentials.add)
	}
	for _, own := range cfg.Owners {
		idx.approvals[own.Name] = approvedTeams(own)
	}
	for _, name := range sortedKeys(cfg.Endpoints) {
		edp := cfg.Endpoints[name]
		idx.pools[edp.Pool] = append(idx.pools[edp.Pool], edp)
		idx.addresses[edp.Address] = name
	}
	idx.buildModelPools()
	idx.buildRanks()
	return idx
}

func approvedTeams(own Owner) map[string]bool {
	approved := make(map[string]bool, len(own.ApprovedTeams))
	for _, ref := range own.ApprovedTeams {
		approved[ref] = true
	}
	return approved
}

func (idx *Index) buildModelPools() {
	idx.modelPools = map[string][]string{}
	for _, name := range sortedKeys(idx.Configuration.Pools) {
		for _, mdl := range idx.Configuration.Pools[name].Models {
			idx.modelPools[mdl] = append(idx.modelPools[mdl], name)
		}
	}
}

func (idx *Index) buildRanks() {
	idx.ranks = map[string]int{}
	for name := range idx.Configuration.Classes {
		idx.rank(name)
	}
}

// rank returns the length of the longest chain of classes that the class outranks. It stores the result, because
// the cost would otherwise grow exponentially with the number of classes.
func (idx *Index) rank(name string) int {
	if known, ok := idx.ranks[name]; ok {
		return known
	}
	highest := 0
	for _, other := range idx.Configuration.Classes[name].Outranks {
		highest = max(highest, idx.rank(other)+1)
	}
	idx.ranks[name] = highest
	return highest
}

// Authenticate finds the team of a credential.
func (idx *Index) Authenticate(credential string) (TeamRef, bool) {
	return idx.credentials.find(CredentialDigest(credential))
}

// Approved reports whether the endpoint's owner has approved the team.
func (idx *Index) Approved(ref TeamRef, edp Endpoint) bool {
	return idx.approvals[edp.Owner][ref.String()]
}

// PoolEndpoints lists a pool's endpoints in order of name.
func (idx *Index) PoolEndpoints(pool string) []Endpoint {
	return idx.pools[pool]
}

// ModelPools lists the pools that serve a model.
func (idx *Index) ModelPools(model string) []string {
	return idx.modelPools[model]
}

// Rank returns the rank of a class; requests of a class with a higher rank take precedence.
func (idx *Index) Rank(class string) int {
	return idx.ranks[class]
}

// Operation finds the operation of a service pool that matches a method and path.
func (idx *Index) Operation(pool, method, path string) (Operation, bool) {
	operations := idx.Configuration.Pools[pool].Operations
	pos := slices.IndexFunc(operations, func(opr Operation) bool {
		return opr.Method == method && matchPath(opr.Path, path)
	})
	if pos < 0 {
		return Operation{}, false
	}
	return operations[pos], true
}

// matchPath matches a path; a pattern that ends with /* matches any path below it.
func matchPath(pattern, path string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "/*"); ok {
		return strings.HasPrefix(path, prefix+"/")
	}
	return pattern == path
}

// CredentialDigest returns the digest that the inventory holds for a credential.
func CredentialDigest(credential string) string {
	sum := sha256.Sum256([]byte(credential))
	return hex.EncodeToString(sum[:])
}

// ParseTeamRef parses organisation/team.
func ParseTeamRef(text string) TeamRef {
	organisation, team, _ := strings.Cut(text, "/")
	return TeamRef{Organisation: organisation, Team: team}
}
