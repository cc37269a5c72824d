package daemon

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/apex/log"

	"ibisline/internal/member"
	"ibisline/internal/settings"
)

// reloadPollInterval is the interval at which the settings file is checked for a
// change, because it may be replaced without a signal.
const reloadPollInterval = 2 * time.Second

// reloader reloads the settings file on SIGHUP and whenever the file changes. It
// applies the log level and the seeds; the log lists the other changed sections,
// which take effect at the next start. An invalid file changes nothing.
type reloader struct {
	file        string
	current     settings.Settings
	members     *member.Members
	logger      *log.Logger
	lastModTime time.Time
}

// Run reloads the settings until ctx ends.
func (r *reloader) Run(ctx context.Context) error {
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	r.lastModTime = r.modTime()
	ticker := time.NewTicker(reloadPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-sighup:
			r.reload("signal")
		case <-ticker.C:
			if modified := r.modTime(); !modified.Equal(r.lastModTime) {
				r.reload("change")
			}
		}
	}
}

// modTime returns the modification time of the file, or zero if it cannot be read.
func (r *reloader) modTime() time.Time {
	info, err := os.Stat(r.file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the file and applies it. Cause is logged.
func (r *reloader) reload(cause string) {
	r.lastModTime = r.modTime()
	next, err := settings.Load(r.file)
	if err != nil {
		r.logger.WithError(err).Error("settings not reloaded")
		return
	}
	if next.Log.Level != r.current.Log.Level {
		if level, err := log.ParseLevel(next.Log.Level); err == nil {
			r.logger.Level = level
		}
	}
	r.members.SetSeeds(next.Peers.Seeds)
	r.logger.WithField("cause", cause).WithField("at_restart", needRestart(r.current, next)).Info("settings reloaded")
	r.current = next
}

// needRestart returns the sections with changes that take effect at the next start.
func needRestart(from, to settings.Settings) []string {
	from.Log.Level, to.Log.Level = "", ""
	from.Peers.Seeds, to.Peers.Seeds = nil, nil
	var sections []string
	a, b := reflect.ValueOf(from), reflect.ValueOf(to)
	for i := range a.NumField() {
		if !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			sections = append(sections, a.Type().Field(i).Tag.Get("toml"))
		}
	}
	return sections
}
