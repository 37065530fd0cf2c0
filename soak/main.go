// Command soak runs real daemons as separate processes and injects faults into them, the endpoints, the store and the
// connections by a plan that a random seed determines. It compares what callers and endpoints recorded with the
// guarantees of the daemons.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
)

// options are the command-line options.
type options struct {
	program          string
	logs             string
	seed             uint64
	seeds            uint64
	duration         time.Duration
	daemons, engines int
	callers          uint64
	verbose          bool
}

func main() {
	var opt options
	cmd := &cobra.Command{
		Use: "soak", Short: "Run real daemons under random faults and check their guarantees", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return opt.run(cmd.Context()) },
	}
	flags := cmd.Flags()
	flags.StringVar(&opt.program, "program", "target/papayacroftd", "daemon `program`")
	flags.StringVar(&opt.logs, "logs", "", "`directory` for the logs of seeds with findings; a new one if empty")
	flags.Uint64Var(&opt.seed, "seed", 1, "first seed")
	flags.Uint64Var(&opt.seeds, "seeds", 1, "number of seeds, one after the other")
	flags.DurationVar(&opt.duration, "duration", 40*time.Second, "time of one seed; the last 15 s are without faults")
	flags.IntVar(&opt.daemons, "daemons", 6, "number of daemons")
	flags.IntVar(&opt.engines, "engines", 9, "number of endpoints; the first three are plain services")
	flags.Uint64Var(&opt.callers, "callers", 40, "number of callers")
	flags.BoolVar(&opt.verbose, "verbose", false, "print the plans")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := cmd.ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// run runs the seeds one after another and returns an error if any has findings.
func (opt *options) run(ctx context.Context) error {
	if opt.duration < warmUpTime+recoveryTime+quietTime || opt.daemons < 1 || opt.engines <= deskEndpoints || opt.callers < 1 {
		return trace.BadParameter("duration %s, %d daemons, %d endpoints, %d callers; at least %s, 1, %d and 1 are expected",
			opt.duration, opt.daemons, opt.engines, opt.callers, warmUpTime+recoveryTime+quietTime, deskEndpoints+1)
	}
	if opt.logs == "" {
		dir, err := os.MkdirTemp("", "papayacroft-soak")
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		opt.logs = dir
	}
	var failed []uint64
	for seed := opt.seed; seed < opt.seed+opt.seeds && ctx.Err() == nil; seed++ {
		rpt, err := opt.runSeed(ctx, seed)
		if err != nil {
			return trace.Wrap(err, "seed %d", seed)
		}
		fmt.Printf("seed %d: %d calls, statuses %v, most memory %d MB, %d findings\n", seed, rpt.calls, rpt.statuses, rpt.memory>>20, len(rpt.findings))
		for _, line := range rpt.list() {
			fmt.Println("  ", line)
		}
		if len(rpt.findings) > 0 {
			failed = append(failed, seed)
		}
	}
	if len(failed) > 0 {
		return trace.CompareFailed("seeds %v have findings; logs are in %s", failed, opt.logs)
	}
	return nil
}

// runSeed runs one seed and deletes its logs if there are no findings.
func (opt *options) runSeed(ctx context.Context, seed uint64) (*report, error) {
	dir := filepath.Join(opt.logs, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	wld, err := newWorld(dir, opt.program, seed, opt.daemons, opt.engines)
	if wld != nil {
		defer wld.close()
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	plan := NewPlan(seed, opt.duration, opt.daemons, opt.engines)
	if opt.verbose {
		for _, flt := range plan {
			fmt.Printf("%8.3f s %-16s target %d for %.3f s\n", flt.At.Seconds(), flt.Kind, flt.Target, flt.Length.Seconds())
		}
	}
	quietFrom := time.Now().Add(opt.duration - quietTime)
	wld.run(ctx, plan, opt.duration, opt.callers)
	if ctx.Err() != nil {
		return nil, trace.Wrap(ctx.Err())
	}
	rpt := wld.check(quietFrom)
	if len(rpt.findings) == 0 {
		return rpt, trace.ConvertSystemError(os.RemoveAll(dir))
	}
	return rpt, nil
}
