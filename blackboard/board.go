// Package blackboard holds a daemon's control state and the control goroutine, the only one that reads and writes it.
// The other goroutines send inputs and read snapshots.
package blackboard

import (
	"time"

	"papayacroft/configuration"
	"papayacroft/inventory"
	"papayacroft/membership"
	"papayacroft/provider"
)

// Board is the control state; only the control goroutine accesses it.
type Board struct {
	Configuration *configuration.State
	Index         *inventory.Index
	// InForce is the configuration version that Index was built from.
	InForce      configuration.Version
	InForceSince time.Time
	// VersionFloor is the version that the previous incarnation of this daemon had in force; older versions are not put in
	// force.
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

// Snapshot is an immutable copy of the board for the goroutines that serve requests.
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
	// ConfigurationView is the view of the configuration from which peers are answered and snapshots are appended to the
	// log.
	ConfigurationView *configuration.View
	// Behind is true while this daemon waits for a snapshot because configuration records expired before it read them.
	Behind bool
}

// Snapshot returns an immutable copy of the board for the goroutines that serve requests.
func (brd *Board) Snapshot(now time.Time) *Snapshot {
	return &Snapshot{
		At:                now,
		Index:             brd.Index,
		Version:           brd.InForce.Number,
		VersionOffset:     brd.InForce.Offset,
		InForceSince:      brd.InForceSince,
		Outcomes:          brd.Configuration.Outcomes,
		LogReadAt:         brd.LogReadAt,
		LogError:          brd.LogError,
		VMs:               brd.VMs,
		VMsReadAt:         brd.VMsReadAt,
		DrainingSince:     brd.DrainingSince,
		Members:           brd.Members,
		ConfigurationView: brd.Configuration.View(),
		Behind:            brd.Configuration.Behind(),
	}
}
