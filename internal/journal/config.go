package journal

import (
	"time"

	"ibisline/internal/defaults"
)

// Config sets the timing and size limits of a journal. Zero fields take their
// defaults; WriteInterval has none, and 0 means no minimum.
type Config struct {
	// WriteInterval is the minimum time between the starts of two writes of one shard.
	WriteInterval time.Duration
	// WriteTimeout limits one write. The outcome of a write that exceeds it is
	// unknown.
	WriteTimeout time.Duration
	// SlowAfter is the duration of a write in progress above which the platform
	// counts as down.
	SlowAfter time.Duration
	// RetryMin and RetryMax limit the delay before a failed write is retried.
	RetryMin time.Duration
	RetryMax time.Duration
	// TailBytes is the total size of the tails of all programs from which they are
	// moved from the shard object into a segment.
	TailBytes int
	// MaxBlocks is the number of blocks of one program above which they are
	// merged into larger ones.
	MaxBlocks int
	// BytesPerSecond limits the write rate of one shard.
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
