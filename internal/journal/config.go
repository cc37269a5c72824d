package journal

import (
	"time"

	"ibisline/internal/defaults"
)

// Config sets the pace of a journal. Zero fields take defaults.
type Config struct {
	// Interval is the least time between two writes of one shard.
	Interval time.Duration
	// WriteTimeout bounds one write; its outcome is then unknown.
	WriteTimeout time.Duration
	// SlowAfter is the age of an unfinished write from which the platform
	// counts as down.
	SlowAfter time.Duration
	// RetryMin and RetryMax bound the wait between failed writes.
	RetryMin time.Duration
	RetryMax time.Duration
	// TailBytes is the size of recent history from which it is moved from the
	// shard object into a segment.
	TailBytes int
	// MaxBlocks is the number of segments of one program from which they are
	// joined into larger ones.
	MaxBlocks int
	// BytesPerSecond bounds the rate of the writes of one shard.
	BytesPerSecond int
}

// Defaults of Config.
const (
	defaultWriteTimeout = 2 * time.Second
	defaultSlowAfter    = 500 * time.Millisecond
	defaultRetryMin     = 20 * time.Millisecond
	defaultRetryMax     = time.Second
	defaultTailBytes    = 32 << 10
	defaultMaxBlocks    = 16
	defaultBytesPerSec  = 16 << 20
)

func (c Config) withDefaults() Config {
	defaults.Set(&c.WriteTimeout, defaultWriteTimeout)
	defaults.Set(&c.SlowAfter, defaultSlowAfter)
	defaults.Set(&c.RetryMin, defaultRetryMin)
	defaults.Set(&c.RetryMax, defaultRetryMax)
	defaults.Set(&c.TailBytes, defaultTailBytes)
	defaults.Set(&c.MaxBlocks, defaultMaxBlocks)
	defaults.Set(&c.BytesPerSecond, defaultBytesPerSec)
	return c
}
