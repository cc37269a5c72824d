// Package logging sets up the structured log of a daemon and redirects the log of
// go-zero to it.
package logging

import (
	"bytes"
	"io"
	"sync"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/core/logx"
)

// New returns a logger that writes to w and limits the rate of lines per message. Level
// is debug, info, warn or error; format is json or text. An unknown level is an error.
func New(w io.Writer, level, format string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrapf(err, "log level %q", level)
	}
	var handler log.Handler = json.New(w)
	if format == "text" {
		handler = &textHandler{out: w}
	}
	return &log.Logger{Handler: newRateLimiter(handler), Level: parsed}, nil
}

// textHandler writes each log entry with a single Write, because other writers may
// share the destination.
type textHandler struct {
	mu  sync.Mutex
	out io.Writer
}

// HandleLog writes a log entry as text.
func (t *textHandler) HandleLog(e *log.Entry) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	var line bytes.Buffer
	if err := text.New(&line).HandleLog(e); err != nil {
		return err
	}
	_, err := t.out.Write(line.Bytes())
	return err
}

// CaptureLogx redirects all later records of go-zero's logx to logger.
func CaptureLogx(logger log.Interface) {
	logx.SetWriter(&logxWriter{log: logger.WithField("source", "go-zero")})
}
