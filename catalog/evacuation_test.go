package catalog

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"
)

type evacuationStep struct {
	At               time.Duration
	Put, Whole, Peer []string
	Era, ReadTo      int64
}

type evacuationCase struct {
	Name, Guards string
	Steps        []evacuationStep
	Want         []string
	Since        *time.Duration
}

// Each case of testdata/evacuations.yaml is what a daemon hears of evacuations, and the failure domains that it must take for
// evacuated afterwards.
func TestEvacuations(t *testing.T) {
	data, err := os.ReadFile("testdata/evacuations.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []evacuationCase
	if err := yaml.Unmarshal(data, &cases); err != nil || len(cases) == 0 {
		t.Fatalf("got %d cases, error %v; want some", len(cases), err)
	}
	for _, cse := range cases {
		t.Run(cse.Name, func(t *testing.T) {
			t.Log(cse.Guards)
			flt := NewFleet()
			for _, stp := range cse.Steps {
				stp.apply(t, flt)
			}
			cse.check(t, flt)
		})
	}
}

func (cse *evacuationCase) check(t *testing.T, flt *Fleet) {
	evs := flt.View().Evacuations
	got := []string{}
	for domain, evc := range evs.Domains {
		if !evs.Has(domain) {
			continue
		}
		got = append(got, domain)
		if cse.Since != nil && !evc.At.Equal(testNow.Add(*cse.Since)) {
			t.Errorf("got evacuation of %s since %s, want %s", domain, evc.At.Sub(testNow), *cse.Since)
		}
	}
	slices.Sort(got)
	if !slices.Equal(got, cse.Want) || evs.Count() != len(cse.Want) {
		t.Errorf("got %v evacuated, count %d, want %v", got, evs.Count(), cse.Want)
	}
	if last := cse.Steps[len(cse.Steps)-1]; evs.Unread && last.Put == nil {
		t.Error("got a state that counts as unread, want it read")
	}
}

func (stp *evacuationStep) apply(t *testing.T, flt *Fleet) {
	now := testNow.Add(stp.At)
	flt.Expire(now)
	switch {
	case stp.Put != nil:
		flt.PutEvacuations(now, testEvacuations(t, stp.Put), stp.Era)
	case stp.Whole != nil:
		flt.ReplaceEvacuations(now, testEvacuations(t, stp.Whole), stp.Era, stp.ReadTo)
	case stp.Peer != nil:
		peer := &Evacuations{Era: stp.Era, ReadTo: stp.ReadTo, Domains: map[string]Evacuation{}}
		for _, rec := range testEvacuations(t, stp.Peer) {
			peer.Domains[rec.Domain] = Evacuation{Offset: rec.Offset, Lifted: rec.Removed, At: now}
		}
		flt.MergeEvacuations(now, peer)
	}
}

func testEvacuations(t *testing.T, texts []string) []EvacuationRecord {
	var records []EvacuationRecord
	for _, text := range texts {
		domain, number, _ := strings.Cut(text, "@")
		offset, err := strconv.ParseInt(number, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		name, removed := strings.CutPrefix(domain, "-")
		records = append(records, EvacuationRecord{Domain: name, Offset: offset, Removed: removed})
	}
	return records
}
