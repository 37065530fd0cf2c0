// Command papayacroftd is the entry daemon.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"papayacroft/daemon"
	"papayacroft/intake"
	"papayacroft/settings"
)

// version is set by the linker.
var version = "unknown"

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "papayacroftd:", trace.UserMessage(err))
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:           "papayacroftd",
		Short:         "Entry daemon that serves callers and routes their requests to endpoints",
		Version:       version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(file) },
	}
	cmd.AddCommand(newGatewayCommand())
	cmd.Flags().StringVar(&file, "settings", "papayacroftd.yaml", "settings `file` in YAML")
	return cmd
}

func run(file string) error {
	set, lst, err := settings.Load(file)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := append(lst, set.Intake.CheckDescriptors(intake.Descriptors())...).Err(); err != nil {
		return err
	}
	logger, err := newLogger(set.Log)
	if err != nil {
		return trace.Wrap(err)
	}
	dmn := daemon.NewDaemon()
	dmn.Settings, dmn.Logger, dmn.Version = set, logger, version
	drain, kill := signalContexts(logger)
	return trace.Wrap(dmn.Run(drain, kill))
}

func newLogger(set settings.Log) (*logrus.Logger, error) {
	logger := logrus.New()
	level, err := logrus.ParseLevel(set.Level)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	logger.SetLevel(level)
	if set.Format == "json" {
		logger.SetFormatter(&logrus.JSONFormatter{})
	}
	return logger, nil
}

// signalContexts returns two contexts: the first SIGTERM or SIGINT cancels drain, and the second one cancels kill.
func signalContexts(logger logrus.FieldLogger) (drain, kill context.Context) {
	drain, startDrain := context.WithCancel(context.Background())
	kill, stop := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		logger.WithField("signal", <-signals).Info("signal received; a second one stops at once")
		startDrain()
		logger.WithField("signal", <-signals).Warn("second signal received; stopping at once")
		stop()
	}()
	return drain, kill
}
