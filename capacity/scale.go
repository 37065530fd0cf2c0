package main

import (
	"fmt"
	"time"

	"papayacroft/document"
	"papayacroft/inventory"
)

const (
	teamsPerOrganisation = 3
	scaleDomains         = 18
	scaleOwners          = 40
	scaleClass           = "writeUp"
)

// scaledConfiguration returns a valid configuration with the given numbers of organisations, engines and models; each
// model has a pool of its own.
func scaledConfiguration(organisations, engines, models int) *inventory.Configuration {
	cfg := &inventory.Configuration{
		Organisations: map[string]inventory.Organisation{},
		Owners:        map[string]inventory.Owner{},
		Models:        map[string]inventory.Model{},
		Pools:         map[string]inventory.Pool{},
		Endpoints:     map[string]inventory.Endpoint{},
		Classes: map[string]inventory.Class{
			scaleClass: {Name: scaleClass, Worth: 1, Deadline: document.Duration(time.Minute)},
		},
	}
	addOrganisations(cfg, organisations)
	for i := range models {
		model, pool := fmt.Sprintf("model-%d", i), fmt.Sprintf("pool-%d", i)
		cfg.Models[model] = inventory.Model{Name: model, Version: "v1", MaxTokens: 32768}
		cfg.Pools[pool] = inventory.Pool{Name: pool, Kind: inventory.PoolKindEngine, Models: []string{model}, Classes: []string{scaleClass}}
	}
	for i := range engines {
		name := fmt.Sprintf("engine-%d", i)
		cfg.Endpoints[name] = inventory.Endpoint{
			Name: name, Pool: fmt.Sprintf("pool-%d", i%models), Owner: fmt.Sprintf("owner-%d", i%scaleOwners),
			Address:       fmt.Sprintf("127.%d.%d.1:9000", i/250, i%250+1),
			FailureDomain: fmt.Sprintf("domain-%d", i%scaleDomains), State: inventory.EndpointServing,
		}
	}
	return cfg
}

// addOrganisations adds owners and organisations; each organisation has three teams, and two owners approve each team.
func addOrganisations(cfg *inventory.Configuration, count int) {
	for i := range scaleOwners {
		name := fmt.Sprintf("owner-%d", i)
		cfg.Owners[name] = inventory.Owner{Name: name}
	}
	for i := range count {
		name := fmt.Sprintf("organisation-%d", i)
		org := inventory.Organisation{Name: name, Limits: inventory.Limits{RequestsPerSecond: 50, Concurrent: 100}}
		for j := range teamsPerOrganisation {
			team := fmt.Sprintf("team-%d", j)
			org.Teams = append(org.Teams, inventory.Team{
				Name: team, CredentialDigests: []string{inventory.CredentialDigest(name + "/" + team)},
			})
			for k := range 2 {
				ownerName := fmt.Sprintf("owner-%d", (i+k)%scaleOwners)
				own := cfg.Owners[ownerName]
				own.ApprovedTeams = append(own.ApprovedTeams, name+"/"+team)
				cfg.Owners[ownerName] = own
			}
		}
		cfg.Organisations[name] = org
	}
}
