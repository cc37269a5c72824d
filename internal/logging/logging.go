// Package logging sets up the daemon's one structured log and leads the log of
// go-zero into it.
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

// New returns a logger that writes to w, of each message a bounded number of lines.
// Level is debug, info, warn or error; format is json or text.
func New(w io.Writer, level, format string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrapf(err, "log level %q", level)
	}
	var handler log.Handler = json.New(w)
	if format == "text" {
		handler = &textLines{to: w}
	}
	return &log.Logger{Handler: newBounded(handler), Level: parsed}, nil
}

// textLines writes each entry at once, as others may write to the same place.
type textLines struct {
	mu sync.Mutex
	to io.Writer
}

// HandleLog implements log.Handler.
func (t *textLines) HandleLog(e *log.Entry) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	var line bytes.Buffer
	if err := text.New(&line).HandleLog(e); err != nil {
		return err
	}
	_, err := t.to.Write(line.Bytes())
	return err
}

// CaptureLogx sends all later records of go-zero's logx to logger.
func CaptureLogx(logger log.Interface) {
	logx.SetWriter(&bridge{log: logger.WithField("source", "go-zero")})
}
