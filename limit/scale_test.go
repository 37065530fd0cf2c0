package limit

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"papayacroft/inventory"
	"papayacroft/membership"
)

const (
	lengthBytes    = 2  // the codec writes the length of a message before it
	nodeRate       = 25 // requests/s for each node
	meanDuration   = 5 * time.Second
	simulatedStep  = 100 * time.Millisecond
	simulatedCalm  = 60 * time.Second
	simulatedFlood = 120 * time.Second
)

// network is a set of daemons in simulated time that call each other in memory and gossip the organisations over
// their limit.
type network struct {
	now     time.Time
	rnd     *rand.Rand
	idx     *inventory.Index
	agents  []*Agent
	tables  []*membership.Table
	bytes   []atomic.Int64
	mutex   sync.Mutex // guards tables while daemons announce organisations
	running requestHeap

	organisations       []inventory.Organisation
	refs                []inventory.TeamRef
	requested, admitted []float64
}

type runningRequest struct {
	end    time.Time
	permit Permit
}

type requestHeap []runningRequest

func (rhp requestHeap) Len() int               { return len(rhp) }
func (rhp requestHeap) Less(one, two int) bool { return rhp[one].end.Before(rhp[two].end) }
func (rhp requestHeap) Swap(one, two int)      { rhp[one], rhp[two] = rhp[two], rhp[one] }
func (rhp *requestHeap) Push(item any)         { *rhp = append(*rhp, item.(runningRequest)) }
func (rhp *requestHeap) Pop() any {
	last := (*rhp)[len(*rhp)-1]
	*rhp = (*rhp)[:len(*rhp)-1]
	return last
}

func (net *network) clock() time.Time { return net.now }

// nodeCaller is the Caller of one node; it calls the agents of other nodes and counts the bytes of both sides.
type nodeCaller struct {
	net  *network
	node int
}

func (ncl nodeCaller) Call(_ context.Context, address, method string, params, result any) error {
	id := jsonrpc2.ID{Num: 10_000}
	var to int
	_, _ = fmt.Sscan(address, &to)
	sent, _ := json.Marshal(params)
	raw := json.RawMessage(sent)
	request, _ := json.Marshal(&jsonrpc2.Request{Method: method, Params: &raw, ID: id})
	answer, err := ncl.net.agents[to].handle(ncl.net.now, sent)
	if err != nil {
		return err
	}
	received, _ := json.Marshal(answer)
	raw = json.RawMessage(received)
	response, _ := json.Marshal(&jsonrpc2.Response{ID: id, Result: &raw})
	for _, node := range []int{ncl.node, to} {
		ncl.net.bytes[node].Add(int64(len(request) + len(response) + 2*lengthBytes))
	}
	return json.Unmarshal(received, result)
}

// newNetwork makes organisations whose demand is proportional to 1/rank. Each limit is four times the organisation's
// mean demand, at least 1 request/s. The second result is the demands in requests/s.
func newNetwork(nodes, organisations int) (*network, []float64) {
	net := &network{now: begin, rnd: rand.New(rand.NewPCG(5, 9)), bytes: make([]atomic.Int64, nodes)}
	weights := make([]float64, organisations)
	for i := range weights {
		weights[i] = 1 / float64(i+1)
	}
	scale := nodeRate * float64(nodes) / total(weights)
	cfg := &inventory.Configuration{Organisations: map[string]inventory.Organisation{}}
	for i := range weights {
		weights[i] *= scale
		name := fmt.Sprintf("organisation-%d", i)
		limit := math.Max(1, 4*weights[i])
		org := inventory.Organisation{
			Name: name, Teams: []inventory.Team{{Name: "members"}},
			Limits: inventory.Limits{RequestsPerSecond: limit, Concurrent: int(math.Ceil(2 * limit * meanDuration.Seconds()))},
		}
		cfg.Organisations[name] = org
		net.organisations = append(net.organisations, org)
		net.refs = append(net.refs, inventory.TeamRef{Organisation: name, Team: "members"})
	}
	net.idx = inventory.NewIndex(cfg)
	var members []membership.Member
	for i := range nodes {
		incarnation := fmt.Sprintf("01890000-0000-7000-8000-%012d", i)
		members = append(members, membership.Member{Incarnation: incarnation, Address: fmt.Sprint(i), State: membership.StateLive})
		tab := membership.NewTable(net.now, members[i])
		agt := NewAgent(incarnation)
		agt.Peers = nodeCaller{net, i}
		agt.View = func() View {
			return View{Configuration: cfg, Members: members, OverLimit: func(organisation string) bool { return tab.IsOverLimit(net.now, organisation) }}
		}
		agt.AnnounceOverLimit = func(now time.Time, over map[string]time.Time) {
			net.mutex.Lock()
			defer net.mutex.Unlock()
			for organisation, until := range over {
				tab.MarkOverLimit(now, organisation, until.Sub(now))
			}
		}
		net.agents, net.tables = append(net.agents, agt), append(net.tables, tab)
	}
	net.requested, net.admitted = make([]float64, organisations), make([]float64, organisations)
	return net, weights
}

// node returns the daemon that receives a request. If balancing is uneven, half of an organisation's requests go to
// a twentieth of the daemons.
func (net *network) node(organisation int, uneven bool) int {
	count := len(net.agents)
	if home := max(1, count/20); uneven && net.rnd.IntN(2) == 0 {
		return (organisation*7 + net.rnd.IntN(home)) % count
	}
	return net.rnd.IntN(count)
}

func (net *network) request(organisation int, uneven bool) {
	agt := net.agents[net.node(organisation, uneven)]
	net.requested[organisation]++
	if permit, denial := agt.Limiter.Acquire(net.now, net.idx, net.refs[organisation]); denial == nil {
		net.admitted[organisation]++
		duration := time.Duration(net.rnd.ExpFloat64() * float64(meanDuration))
		heap.Push(&net.running, runningRequest{net.now.Add(duration), permit})
	}
}

// step sends each organisation's requests of one step, then runs the exchange and gossip of the daemons that are due.
func (net *network) step(number int, rates []float64, uneven bool) {
	net.now = net.now.Add(simulatedStep)
	for len(net.running) > 0 && net.running[0].end.Before(net.now) {
		heap.Pop(&net.running).(runningRequest).permit.Release()
	}
	for organisation, perSecond := range rates {
		// Exponential gaps make the arrivals random.
		for left := perSecond * simulatedStep.Seconds(); ; {
			if left -= net.rnd.ExpFloat64(); left < 0 {
				break
			}
			net.request(organisation, uneven)
		}
	}
	period, second := int(Period/simulatedStep), int(time.Second/simulatedStep)
	for i, agt := range net.agents {
		if i%period == number%period {
			agt.exchange(context.Background(), net.clock)
		}
		if i%second == number%second {
			net.gossip(i, (i+1+net.rnd.IntN(len(net.agents)-1))%len(net.agents))
		}
	}
}

// gossip sends the part of a gossip message with the organisations over their limit and counts its bytes; the other
// parts are measured in package membership.
func (net *network) gossip(one, other int) {
	net.tables[one].Tick(net.now)
	msg := net.tables[one].Message(net.now, net.rnd, "", false)
	if len(msg.OverLimit) == 0 {
		return
	}
	net.tables[other].Receive(net.now, membership.Message{OverLimit: msg.OverLimit})
	data, _ := json.Marshal(msg.OverLimit)
	for _, node := range []int{one, other} {
		net.bytes[node].Add(int64(len(data) + len(`,"over":`)))
	}
}

// traffic returns the mean and the largest bytes/s of a node since the last call.
func (net *network) traffic(dur time.Duration) (mean, largest float64) {
	for i := range net.bytes {
		perSecond := float64(net.bytes[i].Swap(0)) / dur.Seconds()
		mean += perSecond / float64(len(net.bytes))
		largest = max(largest, perSecond)
	}
	return mean, largest
}

// Guards against messages about limits that take more than their part of a node's budget of 2 KB/s, and against an
// organisation that still exceeds its limit some time after a flood began.
func TestNetworkStaysInBudget(t *testing.T) {
	const budget, heldWithin = 300, 20
	res := simulate(24, 372, true)
	t.Logf("%+v", res)
	if res.calmBytes > budget || res.floodBytes > budget || res.heldAfter > heldWithin || res.last > 1.1 {
		t.Errorf("got %+v; want at most %d B/s and 1.1 of the limit after %d s", res, budget, heldWithin)
	}
}

// BenchmarkNetwork reports the bytes that limits cost and how well the limits are kept. It measures one calm minute,
// without demand over a limit, after a first one to settle; then one organisation in a thousand (at least one) sends
// ten times its limit for two minutes.
func BenchmarkNetwork(b *testing.B) {
	for _, size := range [][2]int{{8, 10}, {8, 124}, {50, 775}, {200, 3100}, {400, 6200}} {
		for name, uneven := range map[string]bool{"even": false, "uneven": true} {
			b.Run(fmt.Sprintf("%d/%d/%s", size[0], size[1], name), func(b *testing.B) {
				for b.Loop() {
					res := simulate(size[0], size[1], uneven)
					for unit, value := range map[string]float64{
						"calmB/s": res.calmBytes, "calmLargestB/s": res.calmLargest, "floodB/s": res.floodBytes,
						"floodLargestB/s": res.floodLargest, "calmRefused%": res.calmRefused, "heldAfter-s": res.heldAfter,
						"excess/node": res.excess, "first-ofLimit": res.first, "last-ofLimit": res.last,
					} {
						b.ReportMetric(value, unit)
					}
				}
			})
		}
	}
}

// results holds the bytes/s of a node, sent and received, as the mean and the largest of all nodes, and the part of
// the requests that was admitted.
type results struct {
	calmBytes, calmLargest, floodBytes, floodLargest float64
	// calmRefused is the percentage of requests that were refused before the flood, when no demand exceeds a limit.
	calmRefused float64
	// heldAfter is the time in seconds after which every ten seconds of the flood stay within 1.1 of its limit.
	heldAfter float64
	// excess is the number of requests admitted beyond the limit, per daemon and flooding organisation.
	excess float64
	// first and last are the admitted requests as a fraction of the limit in the first ten seconds and the last minute.
	first, last float64
}

func simulate(nodes, organisations int, uneven bool) (res results) {
	net, rates := newNetwork(nodes, organisations)
	number := 0
	run := func(dur time.Duration) {
		clear(net.requested)
		clear(net.admitted)
		for range int(dur / simulatedStep) {
			net.step(number, rates, uneven)
			number++
		}
	}
	run(simulatedCalm)
	net.traffic(simulatedCalm)
	run(simulatedCalm)
	res.calmBytes, res.calmLargest = net.traffic(simulatedCalm)
	res.calmRefused = 100 * (1 - total(net.admitted)/total(net.requested))
	var floods []int
	for i := range max(1, organisations/1000) {
		floods = append(floods, organisations/20+i*3)
		rates[floods[i]] = 10 * net.organisations[floods[i]].Limits.RequestsPerSecond
	}
	const window = 10 * time.Second
	for at := window; at <= simulatedFlood; at += window {
		run(window)
		var admitted, limit float64
		for _, i := range floods {
			admitted += net.admitted[i]
			limit += net.organisations[i].Limits.RequestsPerSecond * window.Seconds()
		}
		part := admitted / limit
		res.excess += max(0, admitted-limit) / float64(nodes*len(floods))
		if at == window {
			res.first = part
		}
		if part > 1.1 {
			res.heldAfter = at.Seconds()
		}
		if at > simulatedFlood-time.Minute {
			res.last += part * window.Minutes()
		}
	}
	res.floodBytes, res.floodLargest = net.traffic(simulatedFlood)
	return res
}
