package inventory

import (
	"slices"

	"papayacroft/finding"
)

// check decides whether changes to a valid configuration give a valid one, without validating the whole.
// It validates the changed objects, looks for references to removed ones, and compares values that must be unique
// with the old index. A rule added to Validate that relates two objects must be added here too.
type check struct {
	old     *Index
	next    *Configuration
	changed map[Kind]map[string]bool
}

func (chk *check) valid() bool {
	return chk.organisationsValid() && chk.ownersValid() && chk.modelsAndPoolsValid() &&
		chk.endpointsValid() && chk.classesValid()
}

// findings returns the findings that Validate would return, without validating every organisation and owner.
// It validates only those that can have a finding, and all objects of the other kinds, of which there are few.
// Since the old configuration is valid, an organisation can have a finding only if it has changed or shares a
// credential digest with a changed one, and an owner only if it has changed or approves a team that was removed.
func (chk *check) findings() finding.List {
	var lst finding.List
	usedDigests := map[string]string{}
	for _, name := range sortedKeys(chk.affectedOrganisations()) {
		validateOrganisation(&lst, name, chk.next.Organisations[name], usedDigests)
	}
	for _, name := range sortedKeys(chk.affectedOwners()) {
		chk.next.validateOwner(&lst, name, chk.next.Owners[name])
	}
	chk.next.validateModels(&lst)
	chk.next.validatePools(&lst)
	chk.next.validateEndpoints(&lst)
	chk.next.validateClasses(&lst)
	return lst
}

func (chk *check) affectedOrganisations() map[string]bool {
	affected := map[string]bool{}
	for name := range chk.changed[KindOrganisation] {
		org, ok := chk.next.Organisations[name]
		if !ok {
			continue
		}
		affected[name] = true
		eachDigest([]Organisation{org}, func(digest string, _ TeamRef) {
			ref, used := chk.old.credentials.find(digest)
			if _, stays := chk.next.Organisations[ref.Organisation]; used && stays {
				affected[ref.Organisation] = true
			}
		})
	}
	return affected
}

func (chk *check) affectedOwners() map[string]bool {
	affected := map[string]bool{}
	for name := range chk.changed[KindOwner] {
		affected[name] = true
	}
	for organisation := range chk.changed[KindOrganisation] {
		for _, tem := range chk.old.Configuration.Organisations[organisation].Teams {
			ref := TeamRef{Organisation: organisation, Team: tem.Name}.String()
			if _, ok := chk.next.Team(ref); ok {
				continue
			}
			for owner, approved := range chk.old.approvals {
				affected[owner] = affected[owner] || approved[ref]
			}
		}
	}
	for owner := range affected {
		if _, ok := chk.next.Owners[owner]; !ok || !affected[owner] {
			delete(affected, owner)
		}
	}
	return affected
}

func (chk *check) organisationsValid() bool {
	var lst finding.List
	names, usedDigests := chk.changed[KindOrganisation], map[string]string{}
	for name := range names {
		org, ok := chk.next.Organisations[name]
		if ok {
			validateOrganisation(&lst, name, org, usedDigests)
		}
		if chk.approvedTeamRemoved(name) {
			return false
		}
	}
	for dig := range usedDigests {
		if ref, ok := chk.old.credentials.find(dig); ok && !names[ref.Organisation] {
			return false
		}
	}
	return len(lst) == 0
}

// approvedTeamRemoved reports whether an unchanged owner approves a team that the organisation no longer has.
func (chk *check) approvedTeamRemoved(organisation string) bool {
	for _, tem := range chk.old.Configuration.Organisations[organisation].Teams {
		ref := TeamRef{Organisation: organisation, Team: tem.Name}.String()
		if _, ok := chk.next.Team(ref); ok {
			continue
		}
		for owner, approved := range chk.old.approvals {
			if approved[ref] && !chk.changed[KindOwner][owner] {
				return true
			}
		}
	}
	return false
}

func (chk *check) ownersValid() bool {
	var lst finding.List
	for name := range chk.changed[KindOwner] {
		if own, ok := chk.next.Owners[name]; ok {
			chk.next.validateOwner(&lst, name, own)
		}
	}
	return len(lst) == 0
}

// modelsAndPoolsValid validates the changed models and pools, or all pools if a model or class was removed.
// The latter is cheap, as there are few pools.
func (chk *check) modelsAndPoolsValid() bool {
	var lst finding.List
	for name := range chk.changed[KindModel] {
		if mdl, ok := chk.next.Models[name]; ok {
			validateModel(&lst, name, mdl)
		}
	}
	if removed(chk.changed[KindModel], chk.next.Models) || removed(chk.changed[KindClass], chk.next.Classes) {
		chk.next.validatePools(&lst)
		return len(lst) == 0
	}
	for name := range chk.changed[KindPool] {
		if pol, ok := chk.next.Pools[name]; ok {
			chk.next.validatePool(&lst, name, pol)
		}
	}
	return len(lst) == 0
}

func (chk *check) endpointsValid() bool {
	var lst finding.List
	names, addresses := chk.changed[KindEndpoint], map[string]string{}
	for name := range names {
		if edp, ok := chk.next.Endpoints[name]; ok {
			chk.next.validateEndpoint(&lst, name, edp, addresses)
		}
	}
	for address := range addresses {
		if other, ok := chk.old.addresses[address]; ok && !names[other] {
			return false
		}
	}
	return len(lst) == 0 && !chk.endpointWithoutPoolOrOwner()
}

// endpointWithoutPoolOrOwner reports whether the pool or owner of any endpoint was removed.
func (chk *check) endpointWithoutPoolOrOwner() bool {
	if !removed(chk.changed[KindPool], chk.next.Pools) && !removed(chk.changed[KindOwner], chk.next.Owners) {
		return false
	}
	return slices.ContainsFunc(sortedKeys(chk.next.Endpoints), func(name string) bool {
		edp := chk.next.Endpoints[name]
		_, poolOK := chk.next.Pools[edp.Pool]
		_, ownerOK := chk.next.Owners[edp.Owner]
		return !poolOK || !ownerOK
	})
}

// classesValid validates all classes if any has changed, because the relation outranks must have no cycle.
func (chk *check) classesValid() bool {
	var lst finding.List
	if len(chk.changed[KindClass]) > 0 {
		chk.next.validateClasses(&lst)
	}
	return len(lst) == 0
}

// removed reports whether any of the changed objects no longer exists.
func removed[T any](changed map[string]bool, items map[string]T) bool {
	for name := range changed {
		if _, ok := items[name]; !ok {
			return true
		}
	}
	return false
}
