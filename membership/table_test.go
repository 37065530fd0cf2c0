package membership

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"papayacroft/provider"
)

// network simulates daemons whose tables exchange once a second, on the clock of a synctest bubble.
type network struct {
	rnd    *rand.Rand
	tables map[string]*Table
	down   map[string]bool
	bytes  int
}

func newNetwork(count int) *network {
	net := &network{rnd: rand.New(rand.NewPCG(7, 11)), tables: map[string]*Table{}, down: map[string]bool{}}
	var vms []provider.VM
	for i := range count {
		vms = append(vms, provider.VM{Name: fmt.Sprintf("entry-%d", i), Address: fmt.Sprintf("10.0.0.%d:9400", i), State: provider.VMLive})
	}
	for _, vmm := range vms {
		net.start(vmm.Name, vmm.Address)
		net.tables[vmm.Name].SetVMs(vms)
	}
	return net
}

func (net *network) start(name, address string) {
	net.tables[name] = NewTable(time.Now(), Member{
		Name: name, Address: address, FailureDomain: "akl-a", AdminAddress: address,
		Incarnation: fmt.Sprintf("%s-%d", name, time.Now().UnixNano()),
	})
}

// run lets each table that is up exchange once a second.
func (net *network) run(seconds int) {
	for range seconds {
		time.Sleep(ExchangeInterval)
		for _, name := range sortedNames(net.tables) {
			if !net.down[name] {
				net.exchange(name)
			}
		}
	}
}

func (net *network) exchange(name string) {
	tab, now := net.tables[name], time.Now()
	tab.Tick(now)
	tgt, ok := tab.Target(net.rnd)
	if !ok {
		return
	}
	peer := net.tables[tgt.Name]
	if peer == nil || net.down[tgt.Name] {
		tab.Failed(now, tgt.Name)
		return
	}
	ask := tab.Message(now, net.rnd, tgt.Name, false)
	peer.Receive(now, ask)
	reply := peer.Message(now, net.rnd, name, true)
	tab.Receive(now, reply)
	net.bytes += size(ask) + size(reply)
}

// counts counts the tables that are up and hold a member in a state.
func (net *network) counts(name string, sta State) (count int) {
	for _, other := range sortedNames(net.tables) {
		if other == name || net.down[other] {
			continue
		}
		for _, mem := range net.tables[other].Members(time.Now()) {
			if mem.Name == name && mem.State == sta {
				count++
			}
		}
	}
	return count
}

func want(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Errorf("got %s %v; want %v", what, got, want)
	}
}

// Guards against a dead daemon that no peer declares gone, and against a restarted one whose new incarnation does not
// replace the former one at its peers.
func TestDeadDaemonIsGoneAndReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(8)
		net.run(15)
		want(t, "tables with entry-3 live", net.counts("entry-3", StateLive), 7)
		net.down["entry-3"] = true
		net.run(20)
		want(t, "tables with entry-3 gone", net.counts("entry-3", StateGone), 7)
		net.down["entry-3"] = false
		net.start("entry-3", "10.0.0.3:9400")
		net.run(20)
		want(t, "tables with entry-3 live again", net.counts("entry-3", StateLive), 7)
	})
}

// Guards against a live daemon that stays suspect or is declared gone because one peer could not reach it, instead of
// refuting the suspicion.
func TestSuspicionIsRefuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(8)
		net.run(15)
		net.tables["entry-1"].Failed(time.Now(), "entry-5")
		net.run(int(suspectTime/time.Second) + 10)
		want(t, "tables with entry-5 live", net.counts("entry-5", StateLive), 7)
	})
}

// Guards against a membership that depends on the VM list: members must stay when the list becomes empty, entry-9 must
// become a member without being in the list, and a late list must not mark the new incarnation of a VM as leaving.
func TestVMListIsOneInput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(4)
		net.run(10)
		for _, tab := range net.tables {
			tab.SetVMs(nil)
		}
		net.run(10)
		want(t, "tables with entry-2 live without the list", net.counts("entry-2", StateLive), 3)
		net.start("entry-9", "10.0.0.9:9400")
		net.tables["entry-9"].SetVMs([]provider.VM{{Name: "entry-1", Address: "10.0.0.1:9400", State: provider.VMLive}})
		net.run(10)
		want(t, "tables with entry-9 live", net.counts("entry-9", StateLive), 4)

		list := []provider.VM{{Name: "entry-2", Address: "10.0.0.2:9400", State: provider.VMLeaving}}
		net.tables["entry-0"].SetVMs(list)
		want(t, "tables with entry-2 leaving by the list", net.counts("entry-2", StateLeaving), 1)
		net.start("entry-2", "10.0.0.2:9400")
		net.run(10)
		net.tables["entry-0"].SetVMs(list)
		want(t, "tables that still call the replaced entry-2 leaving", net.counts("entry-2", StateLeaving), 0)
	})
}

// Guards against peers that still take a draining daemon for live after some exchanges.
func TestLeavingReachesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(8)
		net.run(15)
		net.tables["entry-4"].Leave()
		net.run(5)
		want(t, "tables with entry-4 leaving", net.counts("entry-4", StateLeaving), 7)
	})
}

// Guards against peers that ignore a restarted daemon because its clock is behind that of its former incarnation, which
// makes it look older, and against a daemon that does not learn which version its former incarnation had in force.
func TestRestartWithEarlierClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		peer := NewTable(now, Member{Name: "entry-1", Address: "10.0.0.1:9400", Incarnation: "p"})
		old := NewTable(now, Member{Name: "entry-2", Address: "10.0.0.2:9400", Incarnation: "z"})
		old.SetVersion(9)
		rnd := rand.New(rand.NewPCG(1, 1))
		peer.Receive(now, old.Message(now, rnd, "entry-1", false))
		fresh := NewTable(now.Add(-time.Hour), Member{Name: "entry-2", Address: "10.0.0.2:9400", Incarnation: "a"})
		for range 2 {
			peer.Receive(now, fresh.Message(now, rnd, "entry-1", false))
			fresh.Receive(now, peer.Message(now, rnd, "entry-2", true))
		}
		want(t, "former version", fresh.FormerVersion(), int64(9))
		want(t, "incarnation", peer.Members(now)[1].Incarnation, "a")
	})
}

// Guards against messages above the bound of section 3.4 of the design, and against a random choice of the changes of
// a message, which would repeat some of them while others wait.
func TestMessageIsBounded(t *testing.T) {
	now := time.Now()
	rnd := rand.New(rand.NewPCG(3, 4))
	long := strings.Repeat("n", 42)
	tab := NewTable(now, Member{Name: long, Address: "255.255.255.255:65535", AdminAddress: "255.255.255.255:65535", FailureDomain: long, Incarnation: long})
	other := NewTable(now, Member{Name: "peer", Address: "10.0.0.1:1", Incarnation: "i"})
	for i := range 400 {
		ent := tab.self
		ent.Name = fmt.Sprintf("%s-%d", long, i)
		tab.Receive(now, Message{Sender: ent})
		tab.AddNotice(now, Notice{Endpoint: fmt.Sprintf("%s-%d", long, i), Since: now})
	}
	for range 50 {
		msg := tab.Message(now, rnd, "peer", true)
		data, err := json.Marshal(msg)
		if err != nil || len(data) > MaxMessageBytes {
			t.Fatalf("got a message of %d bytes, error %v; want at most %d", len(data), err, MaxMessageBytes)
		}
		other.Receive(now, msg)
	}
	if got := len(other.Members(now)); got < 20 {
		t.Errorf("got %d members after 50 messages; want 20 or more", got)
	}
}

// Guards against an organisation over its limit that some daemons never learn of, and against a mark that never expires
// because daemons pass it on to each other after the owner stopped sending it.
func TestOverLimitReachesAllAndExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(8)
		net.run(15)
		count := func() (count int) {
			for _, tab := range net.tables {
				if tab.IsOverLimit(time.Now(), "rimu") {
					count++
				}
			}
			return count
		}
		net.tables["entry-0"].MarkOverLimit(time.Now(), "rimu", time.Hour)
		net.run(15)
		want(t, "tables with rimu over its limit", count(), 8)
		net.run(int(maxOverLimitTime / time.Second))
		want(t, "tables with rimu over its limit after its time", count(), 0)
	})
}
