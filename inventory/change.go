package inventory

import (
	"bytes"
	"encoding/json"
	"maps"

	"github.com/gravitational/trace"
)

// Kind is the kind of object that a change concerns.
type Kind string

// The kinds of object.
const (
	KindOrganisation Kind = "organisation"
	KindOwner        Kind = "owner"
	KindModel        Kind = "model"
	KindPool         Kind = "pool"
	KindEndpoint     Kind = "endpoint"
	KindClass        Kind = "class"
)

// Change sets or removes one named object; a change without value removes it.
type Change struct {
	Kind  Kind            `json:"kind"`
	Name  string          `json:"name"`
	Value json.RawMessage `json:"value,omitempty"`
}

// Diff returns the changes that turn one configuration into another.
func Diff(from, to *Configuration) ([]Change, error) {
	var changes []Change
	var err error
	collect := func(more []Change, diffErr error) {
		changes = append(changes, more...)
		if err == nil {
			err = diffErr
		}
	}
	collect(diffMap(KindOrganisation, from.Organisations, to.Organisations))
	collect(diffMap(KindOwner, from.Owners, to.Owners))
	collect(diffMap(KindModel, from.Models, to.Models))
	collect(diffMap(KindPool, from.Pools, to.Pools))
	collect(diffMap(KindEndpoint, from.Endpoints, to.Endpoints))
	collect(diffMap(KindClass, from.Classes, to.Classes))
	return changes, trace.Wrap(err)
}

func diffMap[T any](knd Kind, from, to map[string]T) ([]Change, error) {
	var changes []Change
	for _, name := range sortedKeys(from) {
		if _, ok := to[name]; !ok {
			changes = append(changes, Change{Kind: knd, Name: name})
		}
	}
	for _, name := range sortedKeys(to) {
		value, err := json.Marshal(to[name])
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if old, ok := from[name]; ok {
			oldValue, err := json.Marshal(old)
			if err != nil {
				return nil, trace.Wrap(err)
			}
			if bytes.Equal(oldValue, value) {
				continue
			}
		}
		changes = append(changes, Change{Kind: knd, Name: name, Value: value})
	}
	return changes, nil
}

// Apply returns a copy of the configuration with the changes made.
// The copy shares the maps of the kinds that don't change with the original, so neither may be modified in place.
func (cfg *Configuration) Apply(changes []Change) (*Configuration, error) {
	next := cfg.clone(changes)
	for _, chg := range changes {
		if err := next.applyOne(chg); err != nil {
			return nil, trace.Wrap(err, "change of %s %q", chg.Kind, chg.Name)
		}
	}
	return next, nil
}

// clone copies the maps of the changed kinds. It doesn't copy the objects in them, as these are never modified in
// place.
func (cfg *Configuration) clone(changes []Change) *Configuration {
	next := *cfg
	changed := namesByKind(changes)
	cloneMap(&next.Organisations, changed[KindOrganisation])
	cloneMap(&next.Owners, changed[KindOwner])
	cloneMap(&next.Models, changed[KindModel])
	cloneMap(&next.Pools, changed[KindPool])
	cloneMap(&next.Endpoints, changed[KindEndpoint])
	cloneMap(&next.Classes, changed[KindClass])
	next.initialize()
	return &next
}

func cloneMap[T any](target *map[string]T, changed map[string]bool) {
	if len(changed) > 0 {
		*target = maps.Clone(*target)
	}
}

// namesByKind returns, for each kind, the names of the objects that the changes set or remove.
func namesByKind(changes []Change) map[Kind]map[string]bool {
	names := map[Kind]map[string]bool{}
	for _, chg := range changes {
		if names[chg.Kind] == nil {
			names[chg.Kind] = map[string]bool{}
		}
		names[chg.Kind][chg.Name] = true
	}
	return names
}

func (cfg *Configuration) initialize() {
	initializeMap(&cfg.Organisations)
	initializeMap(&cfg.Owners)
	initializeMap(&cfg.Models)
	initializeMap(&cfg.Pools)
	initializeMap(&cfg.Endpoints)
	initializeMap(&cfg.Classes)
}

func initializeMap[T any](target *map[string]T) {
	if *target == nil {
		*target = map[string]T{}
	}
}

func (cfg *Configuration) applyOne(chg Change) error {
	switch chg.Kind {
	case KindOrganisation:
		return applyMap(cfg.Organisations, chg)
	case KindOwner:
		return applyMap(cfg.Owners, chg)
	case KindModel:
		return applyMap(cfg.Models, chg)
	case KindPool:
		return applyMap(cfg.Pools, chg)
	case KindEndpoint:
		return applyMap(cfg.Endpoints, chg)
	case KindClass:
		return applyMap(cfg.Classes, chg)
	default:
		return trace.BadParameter("kind %q is not known", chg.Kind)
	}
}

func applyMap[T any](target map[string]T, chg Change) error {
	if len(chg.Value) == 0 {
		delete(target, chg.Name)
		return nil
	}
	dec := json.NewDecoder(bytes.NewReader(chg.Value))
	dec.DisallowUnknownFields()
	var value T
	if err := dec.Decode(&value); err != nil {
		return trace.BadParameter("value is not valid: %v", err)
	}
	target[chg.Name] = value
	return nil
}
