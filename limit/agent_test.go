package limit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"papayacroft/inventory"
	"papayacroft/membership"
)

// agents is a set of daemons that call each other in memory; calls fail while cut is set.
type agents struct {
	all map[string]*Agent
	cut bool
}

func (agts *agents) Call(ctx context.Context, address, _ string, params, result any) error {
	if agts.cut {
		return errors.New("connection refused")
	}
	data, _ := json.Marshal(params)
	answer, err := agts.all[address].HandleShare(ctx, data)
	if err != nil {
		return err
	}
	data, _ = json.Marshal(answer)
	return json.Unmarshal(data, result)
}

// Guards against an owner that does not grant the whole limit to the only daemon with demand, and against a daemon
// that keeps a granted share although its owner cannot be reached.
func TestAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		agts := &agents{all: map[string]*Agent{}}
		vew := View{Configuration: testConfiguration(inventory.Limits{RequestsPerSecond: 40}), OverLimit: func(string) bool { return false }}
		idx := inventory.NewIndex(vew.Configuration)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i := range 4 {
			name := fmt.Sprint(i)
			agt := NewAgent(name)
			agt.Peers, agt.View = agts, func() View { return vew }
			agt.AnnounceOverLimit = func(time.Time, map[string]time.Time) {}
			agts.all[name] = agt
			vew.Members = append(vew.Members, membership.Member{Incarnation: name, Address: name, State: membership.StateLive})
		}
		own, _ := owner(vew, "rimu")
		busy := agts.all["0"]
		if own.Incarnation == "0" {
			busy = agts.all["1"]
		}
		for _, agt := range agts.all {
			go agt.Run(ctx)
		}
		offer := func(dur time.Duration) {
			for end := time.Now().Add(dur); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if permit, denial := busy.Limiter.Acquire(time.Now(), idx, inventory.TeamRef{Organisation: "rimu", Team: "members"}); denial == nil {
					permit.Release()
				}
			}
		}
		offer(4*Period + time.Second)
		if got := busy.Limiter.subjects["rimu"].share.Rate; got != 40 {
			t.Errorf("got share %.1f of the only busy daemon; want the limit of 40", got)
		}
		agts.cut = true
		offer(ShareLifetime + Period)
		if got := busy.Limiter.subjects["rimu"].share.Rate; got != 10 {
			t.Errorf("got share %.1f without the owner; want the static 10", got)
		}
	})
}
