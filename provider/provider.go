// Package provider holds the clients of the services that the platform runs: the log, the VM list and the weight store.
package provider

import (
	"context"
	"time"
)

// Record is one record of a log stream.
type Record struct {
	Offset int64     `json:"offset"`
	At     time.Time `json:"at"`
	Body   []byte    `json:"body"`
}

// Batch is the result of one read of a log stream.
type Batch struct {
	// First is the offset of the oldest record that the log still retains.
	First int64 `json:"first"`
	// Next is the offset to read from next.
	Next    int64    `json:"next"`
	Records []Record `json:"records"`
	// More is true if the log holds further records that did not fit into the page.
	More bool `json:"more,omitempty"`
}

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list.
type VM struct {
	Name          string  `json:"name"`
	Address       string  `json:"address"`
	FailureDomain string  `json:"failureDomain"`
	State         VMState `json:"state"`
}

// VMList is the platform's list of VMs, which reflects changes with a delay.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}

// WeightStore grants permits to load model weights.
type WeightStore interface {
	Acquire(ctx context.Context, model string, bytes int64) error
}
