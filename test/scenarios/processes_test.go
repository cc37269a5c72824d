package scenarios

import (
	"encoding/json"
	"os/exec"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"ibisline/internal/fake/fleet"
	"ibisline/internal/fake/objects"
	"ibisline/internal/fake/standin"
	"ibisline/internal/structs"
)

// usualSettings shorten the daemons' planned stop, as no balancer has to notice.
const usualSettings = `
[stop]
balancer_delay = "300ms"
drain_limit = "20s"
[dispatch]
sweep_interval = "500ms"
`

// start starts "platform", "engine NAME [FLAG...]", "service NAME [FLAG...]" or
// "daemon NAME [region=R] [settings=FILE] [link]". A link lets the script cut
// the daemon off from the platform and the other daemons.
func start(ts *testscript.TestScript, w *world, raw []string) error {
	if len(raw) == 0 {
		return errors.New("usage: start KIND [NAME] [ARGUMENT...]")
	}
	switch raw[0] {
	case "platform":
		_, err := w.fleet.StartStandIn(w.ctx, platform, "objects")
		ts.Setenv("IBISCTL_PLATFORM", w.fleet.Addr(platform))
		return err
	case "engine", "service":
		return w.startServer(raw[0], raw[1:])
	case "daemon":
		return w.startDaemon(ts, parse(raw[1:]))
	}
	return errors.Errorf("unknown kind %q", raw[0])
}

func (w *world) startServer(kind string, raw []string) error {
	if len(raw) == 0 {
		return errors.New("a server needs a name")
	}
	given := []string{"--name", raw[0], "--region", region, "--register", w.fleet.Addr(platform)}
	_, err := w.fleet.StartStandIn(w.ctx, raw[0], kind, append(given, raw[1:]...)...)
	return err
}

func (w *world) startDaemon(ts *testscript.TestScript, a args) error {
	d := fleet.Daemon{
		Name:       a.word(0),
		Region:     region,
		DataCentre: region + "-1",
		Platform:   w.fleet.Addr(platform),
		Settings:   usualSettings,
	}
	if given, ok := a.options["region"]; ok {
		d.Region = given
		d.DataCentre = given + "-1"
	}
	if file, ok := a.options["settings"]; ok {
		d.Settings = ts.ReadFile(file)
	}
	started, err := w.startLinked(d, a.word(1) == "link")
	ts.Setenv("ADDR_"+d.Name, started.HTTPAddr)
	return err
}

// startLinked starts a daemon, and with links chooses others when another
// process took one of its addresses meanwhile.
func (w *world) startLinked(d fleet.Daemon, links bool) (fleet.Daemon, error) {
	for try := 1; ; try++ {
		placed := d
		if links {
			if err := w.addLinks(&placed); err != nil {
				return d, err
			}
		}
		started, err := w.fleet.StartDaemon(w.ctx, placed)
		if !links || try == fleet.MaxStartAttempts || !fleet.AddressTaken(err) {
			return started, err
		}
	}
}

// addLinks leads the daemon's platform and peer traffic over links.
func (w *world) addLinks(d *fleet.Daemon) error {
	var err error
	if d.HTTPAddr, err = fleet.FreeAddr(); err != nil {
		return err
	}
	if d.PeerAddr, err = fleet.FreeAddr(); err != nil {
		return err
	}
	toPlatform, err := newLink(d.Platform)
	if err != nil {
		return err
	}
	toPeer, err := newLink(d.PeerAddr)
	if err != nil {
		return err
	}
	d.Platform = toPlatform.addr()
	d.PeerAdvertise = toPeer.addr()
	w.setLinkOf(d.Name+" platform", toPlatform)
	w.setLinkOf(d.Name+" peers", toPeer)
	return nil
}

// setLinkOf registers a link in place of an earlier one.
func (w *world) setLinkOf(name string, l *link) {
	if old, ok := w.links[name]; ok {
		old.close()
	}
	w.links[name] = l
}

// sigkill kills a process.
func sigkill(_ *testscript.TestScript, w *world, raw []string) error {
	p, err := w.process(parse(raw).word(0))
	if err != nil {
		return err
	}
	p.Kill()
	return nil
}

// terminate asks for a planned stop and waits for exit code 0.
func terminate(_ *testscript.TestScript, w *world, raw []string) error {
	p, err := w.process(parse(raw).word(0))
	if err != nil {
		return err
	}
	return p.Stop(w.ctx)
}

func pause(_ *testscript.TestScript, w *world, raw []string) error {
	p, err := w.process(parse(raw).word(0))
	if err != nil {
		return err
	}
	return p.Pause()
}

func resume(_ *testscript.TestScript, w *world, raw []string) error {
	p, err := w.process(parse(raw).word(0))
	if err != nil {
		return err
	}
	return p.Resume()
}

// cut is "cut DAEMON platform" or "cut DAEMON peers": peers can't reach it.
func cut(_ *testscript.TestScript, w *world, raw []string) error { return w.setLink(raw, true) }

func heal(_ *testscript.TestScript, w *world, raw []string) error { return w.setLink(raw, false) }

func (w *world) setLink(raw []string, cut bool) error {
	a := parse(raw)
	l, ok := w.links[a.word(0)+" "+a.word(1)]
	if !ok {
		return errors.Errorf("no link %q %q", a.word(0), a.word(1))
	}
	l.set(cut)
	return nil
}

// faults is "faults NAME JSON".
func faults(_ *testscript.TestScript, w *world, raw []string) error {
	if len(raw) != 2 {
		return errors.New("usage: faults NAME JSON")
	}
	return w.fleet.SetFaults(w.ctx, raw[0], json.RawMessage(raw[1]))
}

// outage is "outage on" or "outage off".
func outage(_ *testscript.TestScript, w *world, raw []string) error {
	return w.fleet.SetFaults(w.ctx, platform, objects.Faults{Outage: parse(raw).word(0) == "on"})
}

// loseReplies is "lose-replies N": the next N writes take effect unheard.
func loseReplies(_ *testscript.TestScript, w *world, raw []string) error {
	var n int
	if err := json.Unmarshal([]byte(parse(raw).word(0)), &n); err != nil {
		return errors.Wrap(err, "usage: lose-replies N")
	}
	return w.fleet.SetFaults(w.ctx, platform, objects.Faults{LoseReplies: n})
}

// entry is "entry NAME JSON": the catalogue entry as the platform keeps it.
func entry(_ *testscript.TestScript, w *world, raw []string) error {
	if len(raw) != 2 {
		return errors.New("usage: entry NAME JSON")
	}
	var e structs.Entry
	if err := json.Unmarshal([]byte(raw[1]), &e); err != nil {
		return errors.Wrap(err, "entry")
	}
	e.Name = raw[0]
	return fleet.PutEntry(w.ctx, w.fleet.Store(platform), e)
}

// edit is "edit ARGUMENT...": ibisctl entry with these arguments.
func edit(ts *testscript.TestScript, w *world, raw []string) error {
	given := []string{"--platform", w.fleet.Addr(platform), "--author", "operator"}
	given = append(given, "entry")
	command := exec.CommandContext(w.ctx, w.bin+"/ibisctl", append(given, raw...)...)
	out, err := command.CombinedOutput()
	ts.Logf("%s", out)
	if err != nil {
		return errors.Wrapf(err, "ibisctl: %s", out)
	}
	return nil
}

// leave marks a backend server as leaving in the platform's list and, as its
// operator would, in the server itself: "leave NAME [list] [server]".
func leave(_ *testscript.TestScript, w *world, raw []string) error {
	a := parse(raw)
	for _, where := range a.words[1:] {
		var err error
		switch where {
		case "list":
			err = w.leaveInList(a.word(0))
		case "server":
			err = w.fleet.SetFaults(w.ctx, a.word(0), json.RawMessage(`{"leaving":true,"accept_leaving":true}`))
		default:
			err = errors.Errorf("leave where? %q", where)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (w *world) leaveInList(name string) error {
	store := w.fleet.Store(platform)
	object, err := store.Get(w.ctx, structs.ServerPrefix+name)
	if err != nil {
		return errors.Wrap(err, "read server")
	}
	var server structs.Server
	if err := json.Unmarshal(object.Value, &server); err != nil {
		return errors.Wrap(err, "decode server")
	}
	server.State = structs.StateLeaving
	return standin.Register(w.ctx, store, server)
}
