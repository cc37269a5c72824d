// Package logging sets up the daemon's one structured log and leads the log of
// go-zero into it.
package logging

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/core/logx"
)

// New returns a logger that writes to w. Level is debug, info, warn or error;
// format is json or text.
func New(w io.Writer, level, format string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrapf(err, "log level %q", level)
	}
	var handler log.Handler = json.New(w)
	if format == "text" {
		handler = text.New(w)
	}
	return &log.Logger{Handler: handler, Level: parsed}, nil
}

// CaptureLogx sends all later records of go-zero's logx to logger.
func CaptureLogx(logger log.Interface) {
	logx.SetWriter(&bridge{log: logger.WithField("source", "go-zero")})
}
