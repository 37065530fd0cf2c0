// Package provider reaches the services that the platform runs: the log, the VM list and the weight store.
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

// Batch is the result of one read.
type Batch struct {
	// First is the oldest retained offset.
	First int64 `json:"first"`
	// Next is the offset to read from next.
	Next    int64    `json:"next"`
	Records []Record `json:"records"`
	// More is true if the log holds further records that did not fit into the page.
	More bool `json:"more,omitempty"`
}

// VMState is what the platform says of a VM.
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

// VMList is the platform's lagging list of VMs.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}

// WeightStore grants permits to load model weights.
type WeightStore interface {
	Acquire(ctx context.Context, model string, bytes int64) error
}
