package intake

import "testing"

// Guards against plans that leave no descriptors for endpoints, peers and the store, or more memory to clients than a
// process has.
func TestPlan(t *testing.T) {
	for _, cse := range []struct{ memoryMB, descriptors int }{
		{112, 3000}, {112, 10000}, {134, 10000}, {536, 3000}, {536, 10000}, {0, 1024}, {0, 20000}, {112, 300}, {1, 10},
	} {
		pla := NewPlan(cse.memoryMB, cse.descriptors)
		if got := 2*pla.Callers + pla.Peers + 2*pla.Service; got > cse.descriptors {
			t.Errorf("%+v: got %+v, which needs %d descriptors", cse, pla, got)
		}
		if got, want := pla.Memory+int64(pla.Callers)*connectionBytes, int64(cse.memoryMB)<<19; cse.memoryMB > 1 && got > want {
			t.Errorf("%+v: got %+v, which takes %d bytes; want half of the memory, %d, at most", cse, pla, got, want)
		}
	}
	if got, want := NewPlan(112, 3000).With(10, 20, 30), (Plan{Memory: 10 << 20, Callers: 20, Peers: 30, Service: 64}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
