package main

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"papayacroft/gateway"
	"papayacroft/logline"
	"papayacroft/platform"
	"papayacroft/settings"
)

func newGatewayCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "gateway",
		Short: "Serve callers by host and path on machines with a metadata store",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return runGateway(file) },
	}
	cmd.Flags().StringVar(&file, "settings", "gateway.yaml", "settings `file` in YAML")
	return cmd
}

func runGateway(file string) error {
	set, lst, err := settings.LoadGateway(file)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := lst.Err(); err != nil {
		return err
	}
	logger, err := newLogger(set.Log)
	if err != nil {
		return trace.Wrap(err)
	}
	out := logline.NewWriter(os.Stdout)
	logging, stopLogging := context.WithCancel(context.Background())
	var logWriter sync.WaitGroup
	logWriter.Go(func() { out.Run(logging) })
	defer logWriter.Wait()
	defer stopLogging()
	logger.SetOutput(out)
	logger.SetFormatter(logline.NewFormatter(set.Name))
	dmn := gateway.NewDaemon()
	dmn.Settings, dmn.Logger, dmn.Version = set, logger, version
	platform.Attach(dmn)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go func() {
		for range reloads {
			reload(file, dmn)
		}
	}()
	drain, kill := signalContexts(logger)
	dmn.Kill = kill
	return trace.Wrap(dmn.Run(drain))
}

// reload applies the settings file again; if it can't be read or has findings, the present settings remain in use.
func reload(file string, dmn *gateway.Daemon) {
	set, lst, err := settings.LoadGateway(file)
	if err == nil {
		err = lst.Err()
	}
	if err != nil {
		dmn.Logger.WithError(err).Warn("settings not reloaded")
		return
	}
	dmn.Reload(set)
}
