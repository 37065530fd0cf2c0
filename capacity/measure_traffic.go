package main

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

const (
	// trafficTime is how long processor time is measured while streams are open.
	trafficTime = 5 * time.Second
	// settleTime is the pause before a measurement, so that the start of daemon and streams does not affect it.
	settleTime = 2 * time.Second
	// idleTime is how long processor time is measured without traffic.
	idleTime = 10 * time.Second
)

// streamLoad is a set of open streams through a cluster's daemon.
type streamLoad struct {
	// tokens counts the tokens that all streams have received.
	tokens atomic.Int64
	cancel context.CancelFunc
	group  sync.WaitGroup
	// failed counts the streams that could not be opened.
	failed atomic.Int64
}

func openStreams(clu *cluster, count int) *streamLoad {
	ctx, cancel := context.WithCancel(context.Background())
	lod := &streamLoad{cancel: cancel}
	for number := range count {
		lod.group.Go(func() {
			if err := clu.stream(ctx, number, func(read int) { lod.tokens.Add(int64(read)) }); err != nil && ctx.Err() == nil {
				lod.failed.Add(1)
			}
		})
	}
	time.Sleep(settleTime)
	return lod
}

// close ends the streams; it returns an error if some could not be opened.
func (lod *streamLoad) close() error {
	lod.cancel()
	lod.group.Wait()
	if failed := lod.failed.Load(); failed > 0 {
		return trace.BadParameter("%d streams could not be opened", failed)
	}
	return nil
}

// measureTokens measures how the daemon's processor time grows with the rate of relayed tokens.
func measureTokens(programs string) ([]Slope, error) {
	slp := Slope{Name: "processor time of the daemon for relaying", Unit: "cores", Size: "token/s"}
	for _, streams := range []int{20, 100, 200, 400} {
		clu, err := startCluster(programs, targetOrganisations, 20*time.Millisecond)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		cores, rate, err := relayCost(clu, streams)
		clu.stop()
		if err != nil {
			return nil, trace.Wrap(err)
		}
		slp.add(rate, cores)
	}
	return []Slope{slp}, nil
}

// relayCost returns the number of cores that the daemon uses with open streams, and the tokens per second that it
// relays.
func relayCost(clu *cluster, streams int) (cores, rate float64, err error) {
	lod := openStreams(clu, streams)
	cpuBefore, err := clu.cpuSeconds()
	if err != nil {
		return 0, 0, trace.Wrap(err)
	}
	tokensBefore, started := lod.tokens.Load(), time.Now()
	time.Sleep(trafficTime)
	cpuAfter, err := clu.cpuSeconds()
	if err != nil {
		return 0, 0, trace.Wrap(err)
	}
	elapsed := time.Since(started).Seconds()
	rate = float64(lod.tokens.Load()-tokensBefore) / elapsed
	return (cpuAfter - cpuBefore) / elapsed, rate, trace.Wrap(lod.close())
}

// measureStreams measures how the daemon's memory grows with the number of open streams, each of one token per second.
func measureStreams(programs string) ([]Slope, error) {
	slp := Slope{Name: "resident memory of the daemon", Unit: "MiB", Size: "open stream"}
	for _, streams := range []int{0, 500, 1000, 2000} {
		clu, err := startCluster(programs, targetOrganisations, time.Second)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		lod := openStreams(clu, streams)
		time.Sleep(settleTime)
		memory, err := clu.memoryMiB()
		closeErr := lod.close()
		clu.stop()
		if err != nil || closeErr != nil {
			return nil, trace.NewAggregate(err, closeErr)
		}
		slp.add(float64(streams), memory)
	}
	return []Slope{slp}, nil
}

// measureIdle measures how processor time and memory of a daemon without traffic grow with the number of
// organisations.
func measureIdle(programs string) ([]Slope, error) {
	cpu := Slope{Name: "processor time of an idle daemon", Unit: "% of a core", Size: perOrganisation}
	memory := Slope{Name: "resident memory of an idle daemon", Unit: "MiB", Size: perOrganisation}
	for _, size := range organisationSizes {
		clu, err := startCluster(programs, size, time.Second)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		time.Sleep(settleTime)
		before, err := clu.cpuSeconds()
		time.Sleep(idleTime)
		after, afterErr := clu.cpuSeconds()
		resident, memoryErr := clu.memoryMiB()
		clu.stop()
		if err := trace.NewAggregate(err, afterErr, memoryErr); err != nil {
			return nil, err
		}
		cpu.add(float64(size), 100*(after-before)/idleTime.Seconds())
		memory.add(float64(size), resident)
	}
	return []Slope{cpu, memory}, nil
}
