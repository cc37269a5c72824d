package logging

import (
	"fmt"

	"github.com/apex/log"
	"github.com/zeromicro/go-zero/core/logx"
)

// logxWriter is a logx.Writer that writes to the daemon's log. go-zero reports every
// failed HTTP exchange as an error, including those that the calling code expects,
// such as a missing object. The calling code logs failures that matter, so these
// records are written at debug level; only alerts, severe errors and stack traces
// are errors.
type logxWriter struct {
	log log.Interface
}

var _ logx.Writer = (*logxWriter)(nil)

func (w *logxWriter) Alert(v any)                          { w.log.Error(fmt.Sprint(v)) }
func (w *logxWriter) Close() error                         { return nil }
func (w *logxWriter) Debug(v any, fields ...logx.LogField) { w.debug(v, fields) }
func (w *logxWriter) Error(v any, fields ...logx.LogField) { w.debug(v, fields) }
func (w *logxWriter) Info(v any, fields ...logx.LogField)  { w.debug(v, fields) }
func (w *logxWriter) Severe(v any)                         { w.log.Error(fmt.Sprint(v)) }
func (w *logxWriter) Slow(v any, fields ...logx.LogField)  { w.debug(v, fields) }
func (w *logxWriter) Stack(v any)                          { w.log.Error(fmt.Sprint(v)) }
func (w *logxWriter) Stat(v any, fields ...logx.LogField)  { w.debug(v, fields) }

// debug writes a logx record with its fields at debug level.
func (w *logxWriter) debug(v any, fields []logx.LogField) {
	entry := w.log
	for _, field := range fields {
		entry = entry.WithField(field.Key, field.Value)
	}
	entry.Debug(fmt.Sprint(v))
}
