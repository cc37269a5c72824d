package ctl

import (
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"

	"ibisline/internal/explain"
)

// explainRequest prints the timeline of a request from log files, or from standard
// input.
func explainRequest(args *ExplainArgs, streams Streams, asJSON bool) error {
	logs := explain.NewLogs(args.Request)
	if err := readLogs(args.Logs, streams, logs); err != nil {
		return err
	}
	timeline, err := logs.Timeline()
	if errors.Is(err, explain.ErrUnknownRequest) {
		return newFailure(ExitNotFound, "%s", err)
	}
	if err != nil {
		return err
	}
	if asJSON {
		p := printer{out: streams.Out, json: asJSON}
		return p.encode(timeline)
	}
	return timeline.Render(streams.Out)
}

// readLogs reads all logs and reports the number of lines that are not log records
// on standard error.
func readLogs(files []string, streams Streams, logs *explain.Logs) error {
	if len(files) == 0 {
		return readLog("standard input", streams.In, streams, logs)
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return usageError("%s", err)
		}
		err = readLog(name, file, streams, logs)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func readLog(name string, in io.Reader, streams Streams, logs *explain.Logs) error {
	skipped, err := explain.Read(in, logs.Add)
	if err != nil {
		return errors.Wrap(err, name)
	}
	if skipped > 0 {
		fmt.Fprintf(streams.Err, "ibisctl: %s: %d lines are not log records and were skipped\n", name, skipped)
	}
	return nil
}
