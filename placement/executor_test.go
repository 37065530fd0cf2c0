package placement

import (
	"context"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"papayacroft/endpoint"
)

// gate stands in for the fence, the weight store and the engines of an executor, and records the orders.
type gate struct {
	// held holds the answers of the next calls of MayOrder.
	held           []bool
	full           bool
	permitRequests int
	orders         []endpoint.Order
}

func (gat *gate) MayOrder(string, bool) (int64, bool) {
	held := gat.held[0]
	gat.held = gat.held[1:]
	return 7, held
}

func (gat *gate) Acquire(context.Context, string, int64) error {
	gat.permitRequests++
	if gat.full {
		return trace.LimitExceeded("too many loads")
	}
	return nil
}

func (gat *gate) Order(_ context.Context, _ endpoint.Target, ord endpoint.Order) error {
	gat.orders = append(gat.orders, ord)
	return nil
}

func newExecutor(gat *gate) *Executor {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	return &Executor{Pool: "llm", Fence: gat, Orders: gat, Store: gat, Logger: quiet}
}

// Guards against an order that is sent after the lease ran out while the executor waited for the weight store's permit.
func TestLeaseIsCheckedRightBeforeOrder(t *testing.T) {
	for _, tst := range []struct {
		held                   []bool
		permitRequests, orders int
	}{
		{[]bool{false}, 0, 0},
		{[]bool{true, false}, 1, 0},
		{[]bool{true, true}, 1, 1},
	} {
		gat := &gate{held: tst.held}
		sent, err := newExecutor(gat).Execute(t.Context(), time.Unix(1000, 0), Move{Engine: "e", To: Assignment{Model: "writer"}}, "", 0)
		if err != nil || sent != (tst.orders > 0) || gat.permitRequests != tst.permitRequests || len(gat.orders) != tst.orders {
			t.Errorf("held %v: got sent %v, error %v, %d permits, %d orders; want %d permits, %d orders",
				tst.held, sent, err, gat.permitRequests, len(gat.orders), tst.permitRequests, tst.orders)
		}
		if len(gat.orders) > 0 && gat.orders[0].Fence != 7 {
			t.Errorf("got token %d; want 7", gat.orders[0].Fence)
		}
	}
}

// Guards against a pool that repeats a refused request for a permit at once and so uses up the permits of other pools.
func TestRefusedPermitPauses(t *testing.T) {
	gat := &gate{held: []bool{true, true, true}, full: true}
	exe := newExecutor(gat)
	now := time.Unix(1000, 0)
	for _, after := range []time.Duration{0, storePause / 2, 2 * storePause} {
		if sent, err := exe.Execute(t.Context(), now.Add(after), Move{Engine: "e"}, "", 0); sent || err == nil {
			t.Fatalf("got sent %v, error %v; want a refusal", sent, err)
		}
	}
	if got, want := gat.permitRequests, 2; got != want {
		t.Errorf("got %d permits asked for; want %d", got, want)
	}
}

// Guards against a move that does not list, for its log line, why another engine was not chosen.
func TestMoveListsRejections(t *testing.T) {
	now := time.Unix(1000, 0)
	moves := Plan(now, View{
		Engines: []Engine{
			{Name: "a", Reported: true, Models: []string{"critic"}, Ordered: Assignment{Model: "critic"}, OrderedAt: now.Add(-time.Second)},
			{Name: "b", Reported: true, Models: []string{"critic"}},
		},
		Models: []Model{{Name: "critic"}, {Name: "writer", MinEngines: 1}},
	})
	want := []Rejection{{"a", "ordered less than 60 s ago"}}
	if len(moves) != 1 || moves[0].Engine != "b" || !slices.Equal(moves[0].Rejections, want) {
		t.Errorf("got %+v; want engine b with rejections %v", moves, want)
	}
}
