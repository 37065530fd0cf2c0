package configuration

import (
	"fmt"
	"runtime"
	"testing"

	"papayacroft/inventory"
	"papayacroft/provider"
)

// largeConfiguration returns a valid configuration with the given number of organisations of three teams each,
// 16 owners that approve these teams, and one endpoint per six organisations.
func largeConfiguration(organisations int) *inventory.Configuration {
	cfg, _ := (&inventory.Configuration{}).Apply(nil)
	cfg.Classes["writeUp"] = inventory.Class{Name: "writeUp", Worth: 1, Deadline: 1e9}
	cfg.Models["writer"] = inventory.Model{Name: "writer", Version: "v1", MaxTokens: 1000}
	cfg.Pools["llm"] = inventory.Pool{Name: "llm", Kind: inventory.PoolKindEngine, Models: []string{"writer"}, Classes: []string{"writeUp"}}
	approved := make([][]string, 16)
	for i := range organisations {
		name := fmt.Sprintf("organisation-%d", i)
		org := inventory.Organisation{Name: name}
		for team := range 3 {
			ref := fmt.Sprintf("team-%d", team)
			org.Teams = append(org.Teams, inventory.Team{Name: ref, CredentialDigests: []string{inventory.CredentialDigest(name + ref)}})
			approved[i%16] = append(approved[i%16], name+"/"+ref)
		}
		cfg.Organisations[name] = org
	}
	for i, refs := range approved {
		name := fmt.Sprintf("owner-%d", i)
		cfg.Owners[name] = inventory.Owner{Name: name, ApprovedTeams: refs}
	}
	for i := range organisations / 6 {
		name := fmt.Sprintf("engine-%d", i)
		cfg.Endpoints[name] = inventory.Endpoint{
			Name: name, Pool: "llm", Owner: fmt.Sprintf("owner-%d", i%16), FailureDomain: "akl-a",
			Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250),
		}
	}
	return cfg
}

// BenchmarkApply measures applying a publish that changes one organisation, including the update of the index.
func BenchmarkApply(b *testing.B) {
	for _, organisations := range []int{10, 1000, 6200} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			sta := NewState()
			sta.Current = Version{Number: 1, Configuration: largeConfiguration(organisations)}
			if lst := sta.Current.Configuration.Validate(); len(lst) > 0 {
				b.Fatal(lst.Err())
			}
			sta.Index()
			offset := int64(0)
			for b.Loop() {
				offset++
				value := fmt.Sprintf(`{"name":"organisation-1","limits":{"concurrent":%d},"teams":[{"name":"team-0","credentialDigests":[%q],"limits":{}},{"name":"team-1","credentialDigests":[%q],"limits":{}},{"name":"team-2","credentialDigests":[%q],"limits":{}}]}`,
					offset, inventory.CredentialDigest("a"), inventory.CredentialDigest("b"), inventory.CredentialDigest("c"))
				body, err := (&Record{Publish: &Publish{PublishID: fmt.Sprint(offset), BasedOn: sta.Current.Number, Changes: []inventory.Change{
					{Kind: inventory.KindOrganisation, Name: "organisation-1", Value: []byte(value)},
				}}}).Serialize()
				if err != nil {
					b.Fatal(err)
				}
				if changed, err := sta.Apply(provider.Record{Offset: offset, Body: body}); !changed || err != nil {
					b.Fatalf("got changed %t, error %v; want a new version", changed, err)
				}
				sta.Index()
			}
		})
	}
}

// BenchmarkSnapshot measures composing a snapshot (with its size) and adopting one.
func BenchmarkSnapshot(b *testing.B) {
	sta := NewState()
	sta.Current = Version{Number: 1, Configuration: largeConfiguration(6200)}
	vew := sta.View()
	b.Run("compose", func(b *testing.B) {
		for b.Loop() {
			b.ReportMetric(float64(len(snapshotOf(b, sta).Content)), "bytes")
		}
	})
	b.Run("adopt", func(b *testing.B) {
		snp, err := vew.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			fresh := NewState()
			if changed, err := fresh.Adopt(snp); !changed || err != nil {
				b.Fatalf("got changed %t, error %v; want a new version", changed, err)
			}
		}
	})
}

// BenchmarkMemory measures the memory of a configuration with its index, per organisation and per endpoint.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		cfg := largeConfiguration(6200)
		idx := inventory.NewIndex(cfg)
		with := heapBytes()
		runtime.KeepAlive(idx)
		count := len(cfg.Endpoints)
		cfg.Endpoints = nil
		idx = inventory.NewIndex(cfg)
		without := heapBytes()
		runtime.KeepAlive(idx)
		runtime.KeepAlive(cfg)
		b.ReportMetric((float64(without)-float64(before))/6200, "B/organisation")
		b.ReportMetric((float64(with)-float64(without))/float64(count), "B/endpoint")
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkInvalidPublish measures the validation of a publish that gives an organisation a credential of another one.
func BenchmarkInvalidPublish(b *testing.B) {
	idx := inventory.NewIndex(largeConfiguration(6200))
	value := fmt.Sprintf(`{"name":"organisation-1","teams":[{"name":"team-0","credentialDigests":[%q]}]}`, inventory.CredentialDigest("organisation-2team-0"))
	changes := []inventory.Change{{Kind: inventory.KindOrganisation, Name: "organisation-1", Value: []byte(value)}}
	for b.Loop() {
		if _, lst, err := idx.Apply(changes); err != nil || len(lst) == 0 {
			b.Fatalf("got findings %v, error %v; want findings", lst, err)
		}
	}
}
