// Package daemon wires the services of ibislined together.
package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/zeromicro/go-zero/core/proc"

	"ibisline/internal/kernel"
	"ibisline/internal/logging"
	"ibisline/internal/settings"
)

// forceQuitMargin keeps go-zero's own signal handler from ending the process
// before a planned stop has used its whole limit.
const forceQuitMargin = time.Minute

// Run runs a daemon until SIGTERM or SIGINT, which starts a planned stop, or
// until a service fails.
func Run(s settings.Settings) error {
	logger, err := logging.New(os.Stderr, s.Log.Level, s.Log.Format)
	if err != nil {
		return err
	}
	logging.CaptureLogx(logger)
	limit := s.Stop.DrainLimit.Std()
	proc.Setup(proc.ShutdownConf{WrapUpTime: limit + forceQuitMargin, WaitTime: limit + 2*forceQuitMargin})

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	k := kernel.New(logger.WithField("instance", s.Instance.Name))
	if err := register(k, s, logger); err != nil {
		return err
	}
	return k.Run(ctx, func() (context.Context, context.CancelFunc) {
		return context.WithTimeout(context.Background(), limit)
	})
}
