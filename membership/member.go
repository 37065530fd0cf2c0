// Package membership finds out by gossip which entry daemons are alive.
//
// Each daemon exchanges its view with one random member a second. Messages carry recent changes before other entries,
// so their size does not depend on the number of members. The platform's VM list provides the first addresses and may
// mark a VM as leaving; it never removes a member that answers.
package membership

import (
	"time"
)

// State is the state of a daemon as other daemons see it.
type State string

// The states of a daemon.
const (
	StateLive    State = "live"
	StateSuspect State = "suspect"
	StateLeaving State = "leaving"
	StateGone    State = "gone"
)

// Member is one entry daemon.
type Member struct {
	Name          string    `json:"name"`
	Address       string    `json:"address"`
	FailureDomain string    `json:"failureDomain"`
	Incarnation   string    `json:"incarnation"`
	State         State     `json:"state"`
	Version       int64     `json:"version"`
	SeenAt        time.Time `json:"seenAt"`
	// AdminAddress is where operators reach the daemon.
	AdminAddress string `json:"adminAddress"`
}

// rank orders states of the same incarnation and revision; the greater one wins.
func (sta State) rank() int {
	switch sta {
	case StateLive:
		return 0
	case StateLeaving:
		return 1
	case StateSuspect:
		return 2
	case StateGone:
		return 3
	default:
		return -1
	}
}

// states holds the states in order of their rank.
var states = []State{StateLive, StateLeaving, StateSuspect, StateGone}
