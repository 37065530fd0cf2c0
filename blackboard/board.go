// Package blackboard holds a daemon's control state, which controllers read and write.
package blackboard

import (
	"time"

	"papayacroft/configuration"
	"papayacroft/inventory"
	"papayacroft/membership"
	"papayacroft/provider"
)

// Board is the control state; only the control goroutine touches it.
type Board struct {
	Configuration *configuration.State
	Index         *inventory.Index
	// InForce is the version that Index was made of.
	InForce      configuration.Version
	InForceSince time.Time
	// VersionFloor is the version that this daemon's former incarnation had in force.
	VersionFloor  int64
	LogReadAt     time.Time
	LogError      string
	VMs           []provider.VM
	VMsReadAt     time.Time
	DrainingSince time.Time
	// Members holds the other daemons and this one; it is replaced, never modified in place.
	Members []membership.Member
}

// NewBoard returns the state of a daemon that has just started.
func NewBoard() *Board {
	return &Board{Configuration: configuration.NewState()}
}

// Snapshot is what traffic goroutines see of the board; it never changes.
type Snapshot struct {
	At time.Time
	// Index is nil if no configuration is in force.
	Index         *inventory.Index
	Version       int64
	VersionOffset int64
	InForceSince  time.Time
	Outcomes      []configuration.Outcome
	LogReadAt     time.Time
	LogError      string
	VMs           []provider.VM
	VMsReadAt     time.Time
	DrainingSince time.Time
	Members       []membership.Member
	// Transfer is what peers and the log may be told of the configuration.
	Transfer *configuration.View
	// Behind is true while the configuration waits for a snapshot.
	Behind bool
}

// Snapshot copies what traffic goroutines need.
func (brd *Board) Snapshot(now time.Time) *Snapshot {
	return &Snapshot{
		At:            now,
		Index:         brd.Index,
		Version:       brd.InForce.Number,
		VersionOffset: brd.InForce.Offset,
		InForceSince:  brd.InForceSince,
		Outcomes:      brd.Configuration.Outcomes,
		LogReadAt:     brd.LogReadAt,
		LogError:      brd.LogError,
		VMs:           brd.VMs,
		VMsReadAt:     brd.VMsReadAt,
		DrainingSince: brd.DrainingSince,
		Members:       brd.Members,
		Transfer:      brd.Configuration.View(),
		Behind:        brd.Configuration.Behind(),
	}
}
