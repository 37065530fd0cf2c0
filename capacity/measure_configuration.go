package main

import (
	"encoding/json"
	"runtime"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/configuration"
	"papayacroft/inventory"
	"papayacroft/provider"
)

const (
	// targetEngines and targetModels are the numbers of engines and models at the target size.
	targetEngines = 1000
	targetModels  = 32
	// applyRepeats is the number of applied changes of which medianApplyTime returns the median time.
	applyRepeats = 5

	perOrganisation = "organisation"
)

var organisationSizes = []int{100, 1000, 3000, 6200}

// measureConfiguration measures how apply time, heap and record sizes grow with the number of organisations.
func measureConfiguration() ([]Slope, error) {
	apply := Slope{Name: "apply one publish and rebuild the index", Unit: "ms", Size: perOrganisation}
	heap := Slope{Name: "heap of configuration and index", Unit: "KiB", Size: perOrganisation}
	snapshot := Slope{Name: "snapshot record", Unit: "bytes", Size: perOrganisation}
	record := Slope{Name: "publish record that changes one organisation", Unit: "bytes", Size: perOrganisation}
	for _, size := range organisationSizes {
		before := heapBytes()
		sta, err := stateOf(scaledConfiguration(size, targetEngines, targetModels))
		if err != nil {
			return nil, trace.Wrap(err)
		}
		idx := sta.Index()
		heap.add(float64(size), float64(heapBytes()-before)/1024)
		runtime.KeepAlive(idx)
		snp, err := sta.View().Snapshot()
		if err != nil {
			return nil, trace.Wrap(err)
		}
		snapshot.add(float64(size), float64(len(snp.Content)))
		elapsed, recordBytes, err := medianApplyTime(sta)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		apply.add(float64(size), elapsed.Seconds()*1000)
		record.add(float64(size), float64(recordBytes))
	}
	return []Slope{apply, heap, snapshot, record}, nil
}

// stateOf returns a state in which the configuration is in force as the first version.
func stateOf(cfg *inventory.Configuration) (*configuration.State, error) {
	changes, err := inventory.Diff(&inventory.Configuration{}, cfg)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	sta := configuration.NewState()
	return sta, trace.Wrap(applyChanges(sta, 1, changes))
}

// applyChanges applies a publish record at the given offset; a record that is not accepted is an error.
func applyChanges(sta *configuration.State, offset int64, changes []inventory.Change) error {
	body, err := publishRecord(sta.Current.Number, offset, changes)
	if err != nil {
		return trace.Wrap(err)
	}
	changed, err := sta.Apply(provider.Record{Offset: offset, At: time.Now(), Body: body})
	if err == nil && !changed {
		err = trace.BadParameter("publish at offset %d was not accepted: %v", offset, sta.Outcomes)
	}
	return trace.Wrap(err)
}

// publishRecord serializes a publish of changes to version basedOn; number makes the publish id unique.
func publishRecord(basedOn, number int64, changes []inventory.Change) ([]byte, error) {
	rec := &configuration.Record{Publish: &configuration.Publish{
		PublishID: time.Now().Format(time.RFC3339Nano) + string(rune('a'+number%26)), BasedOn: basedOn, Changes: changes,
	}}
	return rec.Serialize()
}

// medianApplyTime returns the median time to apply a change of one organisation and rebuild the index, and the size of
// the publish record in bytes.
func medianApplyTime(sta *configuration.State) (time.Duration, int, error) {
	var times []time.Duration
	size := 0
	for i := range applyRepeats {
		org := sta.Current.Configuration.Organisations["organisation-1"]
		org.Limits.Concurrent = 100 + i + 1
		value, err := json.Marshal(org)
		if err != nil {
			return 0, 0, trace.Wrap(err)
		}
		changes := []inventory.Change{{Kind: inventory.KindOrganisation, Name: org.Name, Value: value}}
		offset := sta.Next
		body, err := publishRecord(sta.Current.Number, offset, changes)
		if err != nil {
			return 0, 0, trace.Wrap(err)
		}
		size = len(body)
		started := time.Now()
		if err := applyChanges(sta, offset, changes); err != nil {
			return 0, 0, trace.Wrap(err)
		}
		runtime.KeepAlive(sta.Index())
		times = append(times, time.Since(started))
	}
	return median(times), size, nil
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	runtime.GC()
	var sta runtime.MemStats
	runtime.ReadMemStats(&sta)
	return int64(sta.HeapAlloc) //nolint:gosec // A heap is far smaller than 2^63 bytes.
}
