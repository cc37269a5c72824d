// Command ibisctl is the command line tool for operators of ibisline.
package main

import (
	"context"
	"os"
	"os/signal"

	"ibisline/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	streams := ctl.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	code := ctl.Run(ctx, os.Args[1:], streams)
	stop()
	os.Exit(code)
}
