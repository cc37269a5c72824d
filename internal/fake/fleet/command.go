package fleet

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/core/logx"
)

// Main is the main function of a command that uses a fleet. It parses the flags and
// runs work, whose context ends on an interrupt. On an error it prints the error
// and exits with status 1.
func Main(name string, work func(ctx context.Context) error) {
	flag.Parse()
	logx.Disable()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := work(ctx)
	stop()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %s\n", name, err)
		os.Exit(1)
	}
}

// WithTempDir calls work with an empty fleet in a temporary directory and kills the
// processes that still run afterwards. The directory is removed unless work returns
// an error. name is part of the directory's name; bin is the directory of the
// binaries, as for New.
func WithTempDir(name, bin string, work func(f *Fleet) error) error {
	dir, err := os.MkdirTemp("", "ibisline-"+name+"-")
	if err != nil {
		return errors.Wrap(err, "make directory")
	}
	f := New(dir, bin)
	defer f.KillAll()
	if err := work(f); err != nil {
		return errors.Wrapf(err, "logs in %s", dir)
	}
	return os.RemoveAll(dir)
}
