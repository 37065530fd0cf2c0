package daemon

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"papayacroft/blackboard"
	"papayacroft/configuration"
	"papayacroft/provider"
	"papayacroft/retry"
)

const (
	logWait        = 5 * time.Second
	vmPollInterval = time.Second
	maxLogPause    = time.Second
)

// followLog reads the configuration stream from its start and sends each batch of records to the control goroutine,
// which replies with the offset of the next read.
func (dmn *Daemon) followLog(ctx context.Context) {
	log := provider.NewHTTPLog(dmn.Settings.Platform.LogURL)
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = 50*time.Millisecond, maxLogPause
	var asked int64
	next := make(chan int64, 1)
	for ctx.Err() == nil {
		bat, err := log.Read(ctx, configuration.Stream, asked, logWait)
		if err != nil {
			dmn.loop.Send(ctx, blackboard.LogFailure{Err: err})
			retry.Sleep(ctx, pauses.NextBackOff())
			continue
		}
		pauses.Reset()
		dmn.loop.Send(ctx, blackboard.LogBatch{From: asked, Batch: bat, Logger: dmn.Logger, Next: next})
		select {
		case asked = <-next:
		case <-ctx.Done():
		}
	}
}

// followVMs polls the platform's VM list and sends it to the control goroutine.
func (dmn *Daemon) followVMs(ctx context.Context) {
	list := provider.NewHTTPVMList(dmn.Settings.Platform.VMsURL)
	for ctx.Err() == nil {
		vms, err := list.VMs(ctx)
		if err != nil {
			dmn.Logger.WithError(err).Debug("VM list could not be read")
		} else {
			dmn.loop.Send(ctx, blackboard.VMList{VMs: vms})
		}
		retry.Sleep(ctx, vmPollInterval)
	}
}
