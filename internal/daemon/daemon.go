// Package daemon wires the services of ibislined together.
package daemon

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeromicro/go-zero/core/proc"

	"ibisline/internal/gateway"
	"ibisline/internal/kernel"
	"ibisline/internal/logging"
	"ibisline/internal/objectapi"
	"ibisline/internal/retire"
	"ibisline/internal/routes"
	"ibisline/internal/servers"
	"ibisline/internal/settings"
)

// Adapter translates between a platform and the daemon. Its zero value serves the
// product's own object API.
type Adapter struct {
	// Protocol is that of the platform's object API, WatchTimeout the longest
	// wait of one of its watches.
	Protocol     objectapi.Protocol
	WatchTimeout time.Duration
	Dialect      gateway.Dialect
	// RoutesPrefix and ServersPrefix are the prefixes of the objects that the
	// decoders read.
	RoutesPrefix  string
	Routes        routes.Decoder
	ServersPrefix string
	Servers       servers.Decoder
	// RetirementsPrefix is the prefix of the requests that Retirements reads.
	RetirementsPrefix string
	Retirements       retire.Dialect
}

// version returns the revision that the program was built from.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return info.Main.Version
}

// memoryShare is the part of the memory limit that the Go heap may fill before
// the collector runs without pause; the rest is for stacks and buffers.
const memoryShare = 0.7

// limitMemory keeps the heap below the process's limit.
func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(float64(megabytes) * memoryShare * (1 << 20)))
	}
}

// logOutput is standard output for daemons on a platform, whose operators collect
// it, and standard error for the others.
func logOutput(s settings.Settings) *os.File {
	if s.Instance.Duty == settings.DutyPrograms {
		return os.Stderr
	}
	return os.Stdout
}

// forceQuitMargin keeps go-zero's own signal handler from ending the process
// before a planned stop has used its whole limit.
const forceQuitMargin = time.Minute

// Run runs a daemon until SIGTERM or SIGINT, which starts a planned stop, or
// until a service fails.
//
// File is where s was read from; it is read again when it changes.
func Run(file string, s settings.Settings, adapter Adapter) error {
	set := metrics.NewSet()
	output := logging.NewAsyncWriter(logOutput(s), set)
	defer output.Close()
	logger, err := logging.New(output, s.Log.Level, s.Log.Format)
	if err != nil {
		return err
	}
	logging.CaptureLogx(logger)
	logger.WithField("instance", s.Instance.Name).WithField("duty", s.Instance.Duty).WithField("data_centre", s.Instance.DataCentre).
		WithField("version", version()).Info("starting")
	limit := s.Stop.DrainLimit.Std()
	limitMemory(s.Instance.MemoryMB)
	proc.Setup(proc.ShutdownConf{WrapUpTime: limit + forceQuitMargin, WaitTime: limit + 2*forceQuitMargin})

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	k := kernel.New(logger.WithField("instance", s.Instance.Name))
	if err := register(k, file, s, adapter, set, logger); err != nil {
		return err
	}
	return k.Run(ctx, func() (context.Context, context.CancelFunc) {
		return context.WithTimeout(context.Background(), limit)
	})
}
