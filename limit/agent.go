package limit

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/inventory"
	"papayacroft/membership"
)

// MethodShare is the method by which daemons report demand to an owner and request shares.
const MethodShare = "limit.share"

// Caller calls other daemons.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// View is the part of the daemon's control state that the agent needs.
type View struct {
	// Configuration is nil if none is in force.
	Configuration *inventory.Configuration
	// Members is empty until this daemon has received a list of members; until then it uses static shares.
	Members []membership.Member
	// VMs is the number of daemons on the platform's list of VMs.
	VMs int
	// OverLimit reports whether an organisation's owner has announced that it is near or over its limit.
	OverLimit func(organisation string) bool
}

func (vew View) nodes() Nodes {
	var nds Nodes
	for _, mem := range vew.Members {
		switch mem.State {
		case membership.StateLive:
			nds.Live++
			nds.All++
		case membership.StateSuspect, membership.StateLeaving:
			nds.All++
		case membership.StateGone:
		}
	}
	nds.All = max(nds.All, vew.VMs, 1)
	return nds
}

// Agent reports this daemon's demand to the owners, applies the shares that they grant, and answers the reports of
// other daemons for the organisations that this daemon owns.
type Agent struct {
	Incarnation string
	Limiter     *Limiter
	Owner       *Owner
	Peers       Caller
	View        func() View
	// AnnounceOverLimit gossips the organisations that are over their limit to all daemons, each with the time until which
	// it counts as such.
	AnnounceOverLimit func(now time.Time, over map[string]time.Time)

	// members identifies the live daemons at the last exchange.
	members string
}

// NewAgent returns an agent that needs Peers, View and AnnounceOverLimit set before Run.
func NewAgent(incarnation string) *Agent {
	agt := &Agent{Incarnation: incarnation, Limiter: NewLimiter(), Owner: NewOwner()}
	agt.Limiter.Nodes = func() Nodes { return agt.View().nodes() }
	return agt
}

// Run reports demand to the owners until the context ends.
func (agt *Agent) Run(ctx context.Context) {
	ticker := time.NewTicker(Period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			agt.exchange(ctx, time.Now)
		}
	}
}

func (agt *Agent) exchange(ctx context.Context, clock func() time.Time) {
	now := clock()
	vew := agt.View()
	if members := agt.observe(now, vew); members != agt.members {
		agt.members = members
		agt.Limiter.ReportToNewOwners(func(organisation string) string {
			own, _ := owner(vew, organisation)
			return own.Incarnation
		})
	}
	names := map[string][]string{}
	addresses := map[string]string{}
	messages, most := 0, maxMessages
	if vew.nodes().small() {
		most = maxMessagesSmallDeployment
	}
	for _, name := range agt.Limiter.Candidates(now, vew.OverLimit) {
		own, ok := owner(vew, Organisation(name))
		if !ok {
			break
		}
		if _, ok := names[own.Incarnation]; !ok && own.Incarnation != agt.Incarnation {
			if messages == most {
				// A later period reports this subject.
				continue
			}
			messages++
		}
		names[own.Incarnation] = append(names[own.Incarnation], name)
		addresses[own.Incarnation] = own.Address
	}
	var wgr sync.WaitGroup
	for incarnation, address := range addresses {
		req := ShareRequest{Node: agt.Incarnation, Reports: agt.Limiter.Reports(now, names[incarnation])}
		wgr.Go(func() { agt.requestShares(ctx, clock, vew, incarnation, address, req) })
	}
	wgr.Wait()
	now = clock()
	agt.Limiter.Expire(now, vew.OverLimit)
	agt.Owner.Prune(now)
	agt.AnnounceOverLimit(now, agt.Owner.Over(now))
}

func (agt *Agent) requestShares(ctx context.Context, clock func() time.Time, vew View, incarnation, address string, req ShareRequest) {
	requestedAt := clock()
	var rep ShareReply
	if incarnation == agt.Incarnation {
		if vew.Configuration == nil {
			return
		}
		rep = agt.Owner.Grant(requestedAt, vew.Configuration, vew.nodes(), req)
	} else if err := agt.Peers.Call(ctx, address, MethodShare, req, &rep); err != nil {
		// The share stays valid for at most ShareLifetime; then the default share applies.
		agt.Limiter.RequestFailed(clock(), req)
		return
	}
	now := clock()
	agt.Limiter.Apply(now, requestedAt, incarnation, req, rep)
	over := map[string]time.Time{}
	for _, organisation := range rep.Over {
		over[organisation] = now.Add(OverLimitTime)
	}
	agt.AnnounceOverLimit(now, over)
}

// owner returns the daemon that grants an organisation's shares, chosen by rendezvous hashing.
func owner(vew View, organisation string) (membership.Member, bool) {
	order := membership.Rendezvous(vew.Members, "limits\x00"+organisation)
	if len(order) == 0 {
		return membership.Member{}, false
	}
	return order[0], true
}

func (agt *Agent) owns(vew View, organisation string) bool {
	own, ok := owner(vew, organisation)
	return ok && own.Incarnation == agt.Incarnation
}

// observe passes the live daemons to this daemon's Owner and returns a string that identifies them.
func (agt *Agent) observe(now time.Time, vew View) string {
	var live []string
	for _, mem := range membership.Rendezvous(vew.Members, "") {
		live = append(live, mem.Incarnation)
	}
	members := strings.Join(live, " ")
	agt.Owner.Observe(now, members, func(organisation string) bool { return agt.owns(vew, organisation) })
	return members
}

// HandleShare answers another daemon's reports of the organisations that this daemon owns.
func (agt *Agent) HandleShare(_ context.Context, params json.RawMessage) (any, error) {
	return agt.handle(time.Now(), params)
}

func (agt *Agent) handle(now time.Time, params json.RawMessage) (any, error) {
	var req ShareRequest
	if err := json.Unmarshal(params, &req); err != nil || req.Node == "" {
		return nil, trace.BadParameter("request for shares is not valid: %v", err)
	}
	vew := agt.View()
	if vew.Configuration == nil {
		return nil, trace.NotFound("no configuration is in force")
	}
	agt.observe(now, vew)
	for _, rep := range req.Reports {
		if !agt.owns(vew, Organisation(rep.Subject)) {
			return nil, trace.NotFound("organisation %q is not owned by this daemon", Organisation(rep.Subject))
		}
	}
	return agt.Owner.Grant(now, vew.Configuration, vew.nodes(), req), nil
}
