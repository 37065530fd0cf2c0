package membership

import (
	"fmt"
	"testing"
	"testing/synctest"
)

// rpcBytes is an upper estimate of the bytes that JSON-RPC adds to a message; a request with the method's name takes
// about 70 bytes.
const rpcBytes = 88

// Guards against gossip that exceeds its part of a node's 2 KB/s although the members know each other and nothing changes.
func TestGossipStaysInBudget(t *testing.T) {
	const budget, settle, measured = 1600, 75, 10
	for _, count := range []int{8, 50, 200, fleetSize} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				net := newNetwork(count)
				net.run(settle)
				net.bytes = 0
				net.run(measured)
				// Each message is sent by one node and received by another, and both count.
				perNode := 2 * (net.bytes/measured/count + 2*rpcBytes)
				t.Logf("%d members: %d B/s sent and received per node", count, perNode)
				if perNode > budget {
					t.Errorf("got %d B/s per node; want at most %d", perNode, budget)
				}
			})
		})
	}
}
