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

// Main is the main function of a command that works with a fleet. It reads the
// flags, runs work until its end or an interrupt, and exits with 1 on an error.
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

// Within calls work with an empty fleet in a directory of its own, which is kept
// on an error, and kills what still runs afterwards. The name stands in the
// directory's, bin is that of New.
func Within(name, bin string, work func(f *Fleet) error) error {
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
