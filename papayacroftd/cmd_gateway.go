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
	"papayacroft/intake"
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
	set, err := loadGateway(file)
	if err != nil {
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

// loadGateway reads the settings and checks them beside the limits of this process.
func loadGateway(file string) (*settings.Gateway, error) {
	set, lst, err := settings.LoadGateway(file)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return set, append(lst, set.Intake.CheckDescriptors(intake.Descriptors())...).Err()
}

// reload applies the settings file again; if it can't be read or has findings, the present settings remain in use.
func reload(file string, dmn *gateway.Daemon) {
	set, err := loadGateway(file)
	if err != nil {
		dmn.Logger.WithError(err).Warn("settings not reloaded")
		return
	}
	dmn.Reload(set)
}
