package daemon

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"papayacroft/blackboard"
	"papayacroft/configuration"
	"papayacroft/inventory"
	"papayacroft/membership"
	"papayacroft/provider"
	"papayacroft/routing"
)

const maxAdminBodyBytes = 64 << 10

// Status is the response to GET /admin/status.
type Status struct {
	Name          string    `json:"name"`
	Incarnation   string    `json:"incarnation"`
	Release       string    `json:"release"`
	FailureDomain string    `json:"failureDomain"`
	Version       int64     `json:"version"`
	Offset        int64     `json:"offset"`
	InForceSince  time.Time `json:"inForceSince,omitzero"`
	LogReadAt     time.Time `json:"logReadAt,omitzero"`
	LogError      string    `json:"logError,omitempty"`
	DrainingSince time.Time `json:"drainingSince,omitzero"`
	// AwaitsSnapshot is true while the daemon waits for a configuration snapshot because records of the configuration
	// stream expired before it read them.
	AwaitsSnapshot bool `json:"behind,omitempty"`
	VMs            int  `json:"vms"`
	// VMsReadAt is the time of the last successful read of the platform's VM list; zero before the first one.
	VMsReadAt time.Time `json:"vmsReadAt,omitzero"`
	// Members holds every daemon in the membership table, which gossip maintains.
	Members []membership.Member `json:"members"`
	// VMsWithoutDaemon holds the names of live VMs in the platform's list that are no endpoints and whose daemon is gone
	// or missing from the membership table.
	VMsWithoutDaemon []string                `json:"unmet,omitempty"`
	Gossip           GossipTraffic           `json:"gossip"`
	Outcomes         []configuration.Outcome `json:"outcomes"`
}

// GossipTraffic counts gossip exchanges that this daemon began, and all bytes sent to and received from other daemons.
type GossipTraffic struct {
	Exchanges     int64 `json:"exchanges"`
	Failures      int64 `json:"failures"`
	SentBytes     int64 `json:"sentBytes"`
	ReceivedBytes int64 `json:"receivedBytes"`
}

// ExplainRequest describes a hypothetical request; the response is the routing decision for it.
type ExplainRequest struct {
	Team  string `json:"team"`
	Model string `json:"model,omitempty"`
	Pool  string `json:"pool,omitempty"`
	Class string `json:"class"`
}

func (dmn *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(wri http.ResponseWriter, _ *http.Request) { writeJSON(wri, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", dmn.handleReady)
	mux.Handle("GET /metrics", dmn.metrics.Handler())
	mux.HandleFunc("GET /admin/status", dmn.handleStatus)
	mux.HandleFunc("GET /admin/configuration", dmn.handleConfiguration)
	mux.HandleFunc("POST /admin/explain", dmn.handleExplain)
	mux.HandleFunc("POST /admin/drain", dmn.handleDrain)
	return mux
}

func (dmn *Daemon) handleReady(wri http.ResponseWriter, _ *http.Request) {
	snp := dmn.loop.Snapshot()
	switch {
	case snp.Index == nil:
		writeJSON(wri, http.StatusServiceUnavailable, "no configuration is in force")
	case !snp.DrainingSince.IsZero():
		writeJSON(wri, http.StatusServiceUnavailable, "draining")
	default:
		writeJSON(wri, http.StatusOK, "ready")
	}
}

func (dmn *Daemon) handleStatus(wri http.ResponseWriter, _ *http.Request) {
	snp := dmn.loop.Snapshot()
	writeJSON(wri, http.StatusOK, Status{
		Name: dmn.Settings.Name, Incarnation: dmn.incarnation, Release: dmn.Version,
		FailureDomain: dmn.Settings.FailureDomain,
		Version:       snp.Version, Offset: snp.VersionOffset, InForceSince: snp.InForceSince,
		LogReadAt: snp.LogReadAt, LogError: snp.LogError,
		DrainingSince: snp.DrainingSince, VMs: len(snp.VMs), VMsReadAt: snp.VMsReadAt, Outcomes: snp.Outcomes,
		AwaitsSnapshot: snp.Behind, Members: snp.Members, VMsWithoutDaemon: unmet(snp), Gossip: dmn.gossipTraffic(),
	})
}

// unmet returns the names of live VMs in the platform's list whose daemon is gone or missing from the membership table.
// VMs of endpoints are left out: the platform lists them too, but no daemon runs there.
func unmet(snp *blackboard.Snapshot) []string {
	known := map[string]bool{}
	for _, mem := range snp.Members {
		known[mem.Name] = mem.State != membership.StateGone
	}
	if snp.Index != nil {
		for name := range snp.Index.Configuration.Endpoints {
			known[name] = true
		}
	}
	var names []string
	for _, vmm := range snp.VMs {
		if vmm.State == provider.VMLive && !known[vmm.Name] {
			names = append(names, vmm.Name)
		}
	}
	return names
}

func (dmn *Daemon) gossipTraffic() GossipTraffic {
	sent, received := &dmn.peerClient.Traffic.Sent, &dmn.peerClient.Traffic.Received
	return GossipTraffic{
		Exchanges: dmn.gossip.exchanges.Load(), Failures: dmn.gossip.failures.Load(),
		SentBytes: sent.Load() + dmn.peers.Traffic.Sent.Load(), ReceivedBytes: received.Load() + dmn.peers.Traffic.Received.Load(),
	}
}

// handleConfiguration responds with the configuration in force and its version.
func (dmn *Daemon) handleConfiguration(wri http.ResponseWriter, _ *http.Request) {
	snp := dmn.loop.Snapshot()
	reply := ConfigurationReply{Version: snp.Version, Offset: snp.VersionOffset}
	if snp.Index != nil {
		reply.Configuration = snp.Index.Configuration
	}
	writeJSON(wri, http.StatusOK, reply)
}

// ConfigurationReply is the response to GET /admin/configuration.
type ConfigurationReply struct {
	Version       int64                    `json:"version"`
	Offset        int64                    `json:"offset"`
	Configuration *inventory.Configuration `json:"configuration,omitempty"`
}

func (dmn *Daemon) handleExplain(wri http.ResponseWriter, req *http.Request) {
	var ask ExplainRequest
	if err := json.NewDecoder(http.MaxBytesReader(wri, req.Body, maxAdminBodyBytes)).Decode(&ask); err != nil {
		writeJSON(wri, http.StatusBadRequest, err.Error())
		return
	}
	snp := dmn.loop.Snapshot()
	vew := routing.View{Index: snp.Index, Statuses: dmn.tracker, FailureDomain: dmn.Settings.FailureDomain}
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	dec := routing.Decide(time.Now(), rnd, vew, routing.Request{
		Team: inventory.ParseTeamRef(ask.Team), Model: ask.Model, Pool: ask.Pool, Class: ask.Class,
	})
	writeJSON(wri, http.StatusOK, dec)
}

func (dmn *Daemon) handleDrain(wri http.ResponseWriter, req *http.Request) {
	dmn.loop.Send(req.Context(), blackboard.Drain{})
	writeJSON(wri, http.StatusAccepted, "draining")
}

func writeJSON(wri http.ResponseWriter, status int, value any) {
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	_ = json.NewEncoder(wri).Encode(value)
}
