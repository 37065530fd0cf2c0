// Command papayacroft-standin runs small stand-ins for the systems outside papayacroft.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"papayacroft/standin"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "papayacroft-standin:", trace.UserMessage(err))
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "papayacroft-standin",
		Short:         "Stand-ins for engines, services and the platform, for demonstrations and tests",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(newCmdEngine(), newCmdService(), newCmdLog(), newCmdVMs(), newCmdWeights(), newCmdKey())
	return cmd
}

// serve serves HTTP on a loopback address until the process ends.
func serve(address string, hdl http.Handler) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return trace.BadParameter("address %q is not IP:port", address)
	}
	if ipa := net.ParseIP(host); ipa == nil || !ipa.IsLoopback() {
		return trace.BadParameter("address %q is not a loopback address", address)
	}
	srv := &http.Server{Addr: address, Handler: hdl, ReadHeaderTimeout: 10 * time.Second}
	if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

func newCmdEngine() *cobra.Command {
	eng := standin.NewEngine()
	eng.Crash = func() { os.Exit(3) }
	var address string
	cmd := &cobra.Command{
		Use: "engine", Short: "Model engine with continuous batching and limited memory", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			go eng.Run(nil)
			return serve(address, eng.Handler())
		},
	}
	cmd.Flags().StringVar(&address, "address", "127.0.0.1:9101", "loopback `IP:port` to listen on")
	cmd.Flags().StringVar(&eng.Name, "name", eng.Name, "engine's name")
	cmd.Flags().StringSliceVar(&eng.Models, "models", nil, "loaded models")
	cmd.Flags().IntVar(&eng.CapacityTokens, "capacity-tokens", eng.CapacityTokens, "memory in tokens")
	cmd.Flags().DurationVar(&eng.TokenInterval, "token-interval", eng.TokenInterval, "time between two tokens")
	cmd.Flags().IntVar(&eng.OutputTokens, "output-tokens", 0, "length of every answer; 0 draws a heavy-tailed length")
	cmd.Flags().BoolVar(&eng.ChecksFence, "checks-fence", false, "refuse orders with an old fencing token")
	return cmd
}

func newCmdService() *cobra.Command {
	svc := standin.NewService()
	var address string
	cmd := &cobra.Command{
		Use: "service", Short: "Plain service that counts runs", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return serve(address, svc.Handler()) },
	}
	cmd.Flags().StringVar(&address, "address", "127.0.0.1:9201", "loopback `IP:port` to listen on")
	cmd.Flags().StringVar(&svc.Name, "name", svc.Name, "service's name")
	cmd.Flags().DurationVar(&svc.Delay, "delay", 0, "time that a call takes")
	return cmd
}

func newCmdLog() *cobra.Command {
	var address string
	var appends int
	var retention time.Duration
	cmd := &cobra.Command{
		Use: "log", Short: "Append-only log with offsets", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			log := standin.NewLog(appends)
			log.Retention = retention
			return serve(address, log.Handler())
		},
	}
	cmd.Flags().StringVar(&address, "address", "127.0.0.1:9001", "loopback `IP:port` to listen on")
	cmd.Flags().IntVar(&appends, "appends-per-second", 400, "bound on appends a second")
	cmd.Flags().DurationVar(&retention, "retention", 24*time.Hour, "time for which records are kept")
	return cmd
}

func newCmdVMs() *cobra.Command {
	var address, file string
	var lag time.Duration
	cmd := &cobra.Command{
		Use: "vms", Short: "Lagging list of VMs", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			data, err := os.ReadFile(file)
			if err != nil {
				return trace.ConvertSystemError(err)
			}
			var vms []standin.VM
			if err := json.Unmarshal(data, &vms); err != nil {
				return trace.Wrap(err)
			}
			lst := standin.NewVMs(vms)
			lst.Lag = lag
			return serve(address, lst.Handler())
		},
	}
	cmd.Flags().StringVar(&address, "address", "127.0.0.1:9002", "loopback `IP:port` to listen on")
	cmd.Flags().StringVar(&file, "file", "vms.json", "JSON `file` with the first list")
	cmd.Flags().DurationVar(&lag, "lag", 0, "time after which a change is shown")
	return cmd
}

func newCmdWeights() *cobra.Command {
	var address string
	var loads int
	cmd := &cobra.Command{
		Use: "weights", Short: "Rate-limited weight store", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return serve(address, standin.NewWeights(loads).Handler()) },
	}
	cmd.Flags().StringVar(&address, "address", "127.0.0.1:9003", "loopback `IP:port` to listen on")
	cmd.Flags().IntVar(&loads, "loads-per-second", 2, "bound on loads a second")
	return cmd
}
