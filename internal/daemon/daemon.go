// Package daemon builds the services of ibislined and runs them until a planned stop.
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

// Adapter contains the platform-specific protocols and decoders. The zero value is
// for the native object API.
type Adapter struct {
	// Protocol is the protocol of the platform's object API. WatchTimeout bounds
	// one watch request to it.
	Protocol     objectapi.Protocol
	WatchTimeout time.Duration
	Dialect      gateway.Dialect
	// RoutesPrefix and ServersPrefix are the key prefixes of the objects that
	// Routes and Servers decode.
	RoutesPrefix string
	Routes       routes.Decoder
	// WithoutKeys replaces the keys of teams in the configuration by their digests.
	WithoutKeys   func(value []byte) []byte
	ServersPrefix string
	Servers       servers.Decoder
	// RetirementsPrefix is the key prefix of the requests that Retirements decodes.
	RetirementsPrefix string
	Retirements       retire.Dialect
	// ScarceMemory is set if engines cannot keep all shared parts of prompts beside their requests.
	ScarceMemory bool
}

// version returns the VCS revision of the build, else the module version, else "".
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

// goMemoryFraction is the part of the process limit used as the soft memory limit of
// the Go runtime. Near that limit the garbage collector runs continuously; the rest
// is headroom for stacks and buffers.
const goMemoryFraction = 0.7

// limitMemory sets the soft memory limit of the Go runtime. 0 sets none.
func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(float64(megabytes) * goMemoryFraction * (1 << 20)))
	}
}

// logOutput returns standard output for daemons on a platform, where operators
// collect it, and standard error for the others.
func logOutput(s settings.Settings) *os.File {
	if s.Instance.Duty == settings.DutyPrograms {
		return os.Stderr
	}
	return os.Stdout
}

// forceQuitMargin is added to go-zero's shutdown timeouts, so that its signal handler
// does not end the process before a planned stop has reached its limit.
const forceQuitMargin = time.Minute

// Run runs a daemon with the settings s until SIGTERM or SIGINT, which starts a
// planned stop, or until a service fails. File is the path that s was loaded from;
// gateways and keepers reload it when it changes.
func Run(file string, s settings.Settings, adapter Adapter) error {
	set := metrics.NewSet()
	output := logging.NewAsyncWriter(logOutput(s), set)
	defer output.Close()
	logger, err := logging.New(output, s.Log.Level, s.Log.Format)
	if err != nil {
		return err
	}
	logging.CaptureLogx(logger)
	logger.WithField("instance", s.Instance.Name).
		WithField("duty", s.Instance.Duty).
		WithField("data_centre", s.Instance.DataCentre).
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
