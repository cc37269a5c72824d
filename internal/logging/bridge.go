package logging

import (
	"fmt"

	"github.com/apex/log"
	"github.com/zeromicro/go-zero/core/logx"
)

// bridge implements logx.Writer over the daemon's log. go-zero reports every
// failed HTTP exchange as an error, also one that its caller expects, such as a
// missing object. Callers log what matters, so these records are for debugging;
// only panics and alerts are errors here.
type bridge struct {
	log log.Interface
}

var _ logx.Writer = (*bridge)(nil)

func (b *bridge) Alert(v any)                          { b.log.Error(fmt.Sprint(v)) }
func (b *bridge) Close() error                         { return nil }
func (b *bridge) Debug(v any, fields ...logx.LogField) { b.debug(v, fields) }
func (b *bridge) Error(v any, fields ...logx.LogField) { b.debug(v, fields) }
func (b *bridge) Info(v any, fields ...logx.LogField)  { b.debug(v, fields) }
func (b *bridge) Severe(v any)                         { b.log.Error(fmt.Sprint(v)) }
func (b *bridge) Slow(v any, fields ...logx.LogField)  { b.debug(v, fields) }
func (b *bridge) Stack(v any)                          { b.log.Error(fmt.Sprint(v)) }
func (b *bridge) Stat(v any, fields ...logx.LogField)  { b.debug(v, fields) }

// debug writes a record with the fields of a logx record.
func (b *bridge) debug(v any, fields []logx.LogField) {
	entry := b.log
	for _, field := range fields {
		entry = entry.WithField(field.Key, field.Value)
	}
	entry.Debug(fmt.Sprint(v))
}
