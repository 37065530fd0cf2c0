package exchange

import (
	"fmt"
	"maps"
	"reflect"
	"testing"

	"papayacroft/catalog"
	"papayacroft/control"
	"papayacroft/dispatch"
)

// With 3,000 engines of which a sixth leaves every few seconds, a daemon that assigned all engines to their users again
// after each change made two allocations and 300 hashes an engine, many times a second. Here one engine comes: the
// assignment has to be the same as one made from nothing, at a cost that does not grow with the number of engines.
func TestSharingKeepsUsers(t *testing.T) {
	const engines, daemons = 3000, 300
	var members []string
	for i := range daemons {
		members = append(members, fmt.Sprintf("d%d", i))
	}
	ros := &roster{members: members, assignment: dispatch.NewAssignment(members)}
	snp := &control.Snapshot{Catalog: catalog.NewCatalog(1, nil, []catalog.Service{{Name: "pool", Engine: &catalog.Engine{}}}, nil)}
	snp.Fleet = catalog.FleetView{Changes: 1, Endpoints: map[string]catalog.Endpoint{}}
	for i := range engines {
		id := fmt.Sprintf("e%d", i)
		snp.Fleet.Endpoints[id] = catalog.Endpoint{ID: id, Service: "pool"}
	}
	old := newSharing(nil, snp, "d0", ros)
	next := *snp
	next.Fleet = catalog.FleetView{Changes: 2, Endpoints: maps.Clone(snp.Fleet.Endpoints)}
	next.Fleet.Endpoints["new"] = catalog.Endpoint{ID: "new", Service: "pool"}

	got, want := newSharing(old, &next, "d0", ros), newSharing(nil, &next, "d0", ros)
	if !reflect.DeepEqual(got.users, want.users) || !reflect.DeepEqual(got.own, want.own) {
		t.Error("got other users of engines than a new assignment has")
	}
	if got, want := testing.AllocsPerRun(3, func() { newSharing(old, &next, "d0", ros) }), float64(engines)/10; got > want {
		t.Errorf("got %.0f allocations after one engine came, want %.0f at most", got, want)
	}
	other := &roster{members: members[1:], assignment: dispatch.NewAssignment(members[1:])}
	if got, want := newSharing(old, &next, "d1", other), newSharing(nil, &next, "d1", other); !reflect.DeepEqual(got.users, want.users) {
		t.Error("got users from before a daemon had gone")
	}
}
