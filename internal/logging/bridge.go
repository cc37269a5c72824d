package logging

import (
	"fmt"

	"github.com/apex/log"
	"github.com/zeromicro/go-zero/core/logx"
)

// bridge implements logx.Writer over the daemon's log. go-zero reports routine
// events at info level; they become debug records.
type bridge struct {
	log log.Interface
}

var _ logx.Writer = (*bridge)(nil)

func (b *bridge) Alert(v any)                          { b.log.Error(fmt.Sprint(v)) }
func (b *bridge) Close() error                         { return nil }
func (b *bridge) Debug(v any, fields ...logx.LogField) { b.with(fields).Debug(fmt.Sprint(v)) }
func (b *bridge) Error(v any, fields ...logx.LogField) { b.with(fields).Error(fmt.Sprint(v)) }
func (b *bridge) Info(v any, fields ...logx.LogField)  { b.with(fields).Debug(fmt.Sprint(v)) }
func (b *bridge) Severe(v any)                         { b.log.Error(fmt.Sprint(v)) }
func (b *bridge) Slow(v any, fields ...logx.LogField)  { b.with(fields).Warn(fmt.Sprint(v)) }
func (b *bridge) Stack(v any)                          { b.log.Error(fmt.Sprint(v)) }
func (b *bridge) Stat(v any, fields ...logx.LogField)  { b.with(fields).Debug(fmt.Sprint(v)) }

// with returns the log with the fields of a logx record.
func (b *bridge) with(fields []logx.LogField) log.Interface {
	entry := b.log
	for _, field := range fields {
		entry = entry.WithField(field.Key, field.Value)
	}
	return entry
}
