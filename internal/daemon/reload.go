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

// reloadPoll is the time between two looks at the settings file, which may change
// without a signal.
const reloadPoll = 2 * time.Second

// reloader reads the settings file again after SIGHUP and whenever it has changed.
// What can change while the daemon runs is applied; the rest is named in the log
// and holds from the next start on. A faulty file changes nothing.
type reloader struct {
	file    string
	current settings.Settings
	members *member.Members
	logger  *log.Logger
	changed time.Time
}

// Run implements kernel.Service.
func (r *reloader) Run(ctx context.Context) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	r.changed = r.modified()
	ticker := time.NewTicker(reloadPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
			r.reload("signal")
		case <-ticker.C:
			if modified := r.modified(); !modified.Equal(r.changed) {
				r.reload("change")
			}
		}
	}
}

// modified returns the time of the file's last change, zero if it is not there.
func (r *reloader) modified() time.Time {
	info, err := os.Stat(r.file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the file and applies it.
func (r *reloader) reload(cause string) {
	r.changed = r.modified()
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

// needRestart names the sections whose changes hold from the next start on.
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
