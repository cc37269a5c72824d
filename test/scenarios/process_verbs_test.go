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

// defaultSettings shorten the planned stop of daemons: without a load balancer there
// is no need to wait until one has removed the daemon.
const defaultSettings = `
[stop]
balancer_delay = "300ms"
drain_limit = "20s"
[dispatch]
sweep_interval = "500ms"
`

// start is "start platform", "start engine NAME [FLAG...]", "start service NAME
// [FLAG...]" or "start daemon NAME [region=R] [settings=FILE] [link]". With link the
// script can cut the connections of the daemon to the platform and from its peers.
func start(ts *testscript.TestScript, s *scriptEnv, raw []string) error {
	if len(raw) == 0 {
		return errors.New("usage: start KIND [NAME] [ARGUMENT...]")
	}
	switch raw[0] {
	case "platform":
		_, err := s.fleet.StartStandIn(s.ctx, platform, "objects")
		ts.Setenv("IBISCTL_PLATFORM", s.fleet.Addr(platform))
		return err
	case "engine", "service":
		return s.startServer(raw[0], raw[1:])
	case "daemon":
		return s.startDaemon(ts, parse(raw[1:]))
	}
	return errors.Errorf("start: unknown kind of process %q", raw[0])
}

func (s *scriptEnv) startServer(kind string, raw []string) error {
	if len(raw) == 0 {
		return errors.New("usage: start KIND NAME [FLAG...]")
	}
	flags := []string{"--name", raw[0], "--region", region, "--register", s.fleet.Addr(platform)}
	_, err := s.fleet.StartStandIn(s.ctx, raw[0], kind, append(flags, raw[1:]...)...)
	return err
}

func (s *scriptEnv) startDaemon(ts *testscript.TestScript, a args) error {
	d := fleet.Daemon{
		Name:       a.word(0),
		Region:     region,
		DataCentre: region + "-1",
		Platform:   s.fleet.Addr(platform),
		Settings:   defaultSettings,
	}
	if name, ok := a.options["region"]; ok {
		d.Region = name
		d.DataCentre = name + "-1"
	}
	if file, ok := a.options["settings"]; ok {
		d.Settings = ts.ReadFile(file)
	}
	started, err := s.startWithLinks(d, a.word(1) == "link")
	ts.Setenv("ADDR_"+d.Name, started.HTTPAddr)
	return err
}

// startWithLinks starts a daemon, optionally behind links. The addresses of a linked
// daemon are chosen before it starts, so others are tried if another process has taken
// one of them in the meantime.
func (s *scriptEnv) startWithLinks(d fleet.Daemon, links bool) (fleet.Daemon, error) {
	for try := 1; ; try++ {
		placed := d
		if links {
			if err := s.addLinks(&placed); err != nil {
				return d, err
			}
		}
		started, err := s.fleet.StartDaemon(s.ctx, placed)
		if !links || try == fleet.MaxStartAttempts || !fleet.AddressTaken(err) {
			return started, err
		}
	}
}

// addLinks routes the daemon's platform traffic and its incoming peer traffic through
// links.
func (s *scriptEnv) addLinks(d *fleet.Daemon) error {
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
	s.replaceLink(d.Name+" platform", toPlatform)
	s.replaceLink(d.Name+" peers", toPeer)
	return nil
}

// replaceLink registers a link, closing an earlier one of the same name.
func (s *scriptEnv) replaceLink(name string, l *link) {
	if old, ok := s.links[name]; ok {
		old.close()
	}
	s.links[name] = l
}

// sigkill is "sigkill NAME".
func sigkill(_ *testscript.TestScript, s *scriptEnv, raw []string) error {
	p, err := s.process(parse(raw).word(0))
	if err != nil {
		return err
	}
	p.Kill()
	return nil
}

// terminate is "terminate NAME". It sends SIGTERM and waits for exit code 0.
func terminate(_ *testscript.TestScript, s *scriptEnv, raw []string) error {
	p, err := s.process(parse(raw).word(0))
	if err != nil {
		return err
	}
	return p.Stop(s.ctx)
}

func pause(_ *testscript.TestScript, s *scriptEnv, raw []string) error {
	p, err := s.process(parse(raw).word(0))
	if err != nil {
		return err
	}
	return p.Pause()
}

func resume(_ *testscript.TestScript, s *scriptEnv, raw []string) error {
	p, err := s.process(parse(raw).word(0))
	if err != nil {
		return err
	}
	return p.Resume()
}

// cut is "cut DAEMON platform", which cuts the daemon off from the platform, or "cut
// DAEMON peers", which makes it unreachable for its peers.
func cut(_ *testscript.TestScript, s *scriptEnv, raw []string) error { return s.setLink(raw, true) }

func heal(_ *testscript.TestScript, s *scriptEnv, raw []string) error { return s.setLink(raw, false) }

func (s *scriptEnv) setLink(raw []string, cut bool) error {
	a := parse(raw)
	l, ok := s.links[a.word(0)+" "+a.word(1)]
	if !ok {
		return errors.Errorf("no link %q %q", a.word(0), a.word(1))
	}
	l.set(cut)
	return nil
}

// faults is "faults NAME JSON". It replaces the faults that a stand-in injects.
func faults(_ *testscript.TestScript, s *scriptEnv, raw []string) error {
	if len(raw) != 2 {
		return errors.New("usage: faults NAME JSON")
	}
	return s.fleet.SetFaults(s.ctx, raw[0], json.RawMessage(raw[1]))
}

// outage is "outage on" or "outage off". It starts or ends an outage of the platform.
func outage(_ *testscript.TestScript, s *scriptEnv, raw []string) error {
	return s.fleet.SetFaults(s.ctx, platform, objects.Faults{Outage: parse(raw).word(0) == "on"})
}

// loseReplies is "lose-replies N". The platform applies the next N writes but drops
// its replies.
func loseReplies(_ *testscript.TestScript, s *scriptEnv, raw []string) error {
	var n int
	if err := json.Unmarshal([]byte(parse(raw).word(0)), &n); err != nil {
		return errors.Wrap(err, "usage: lose-replies N")
	}
	return s.fleet.SetFaults(s.ctx, platform, objects.Faults{LoseReplies: n})
}

// entry is "entry NAME JSON". It writes the catalogue entry to the platform.
func entry(_ *testscript.TestScript, s *scriptEnv, raw []string) error {
	if len(raw) != 2 {
		return errors.New("usage: entry NAME JSON")
	}
	var e structs.Entry
	if err := json.Unmarshal([]byte(raw[1]), &e); err != nil {
		return errors.Wrap(err, "decode entry")
	}
	e.Name = raw[0]
	return fleet.PutEntry(s.ctx, s.fleet.Store(platform), e)
}

// edit is "edit ARGUMENT...". It runs ibisctl entry with these arguments.
func edit(ts *testscript.TestScript, s *scriptEnv, raw []string) error {
	arguments := []string{"--platform", s.fleet.Addr(platform), "--author", "operator"}
	arguments = append(arguments, "entry")
	command := exec.CommandContext(s.ctx, s.binDir+"/ibisctl", append(arguments, raw...)...)
	out, err := command.CombinedOutput()
	ts.Logf("%s", out)
	if err != nil {
		return errors.Wrapf(err, "ibisctl: %s", out)
	}
	return nil
}

// markLeaving is "mark-leaving NAME [list] [server]". It marks a backend server as
// leaving in the platform's list of servers, in the server's own load reports, or in
// both.
func markLeaving(_ *testscript.TestScript, s *scriptEnv, raw []string) error {
	a := parse(raw)
	for _, where := range a.words[1:] {
		var err error
		switch where {
		case "list":
			err = s.markLeavingInList(a.word(0))
		case "server":
			err = s.fleet.SetFaults(s.ctx, a.word(0), json.RawMessage(`{"leaving":true,"accept_leaving":true}`))
		default:
			err = errors.Errorf("mark-leaving: unknown place %q, want list or server", where)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *scriptEnv) markLeavingInList(name string) error {
	store := s.fleet.Store(platform)
	object, err := store.Get(s.ctx, structs.ServerPrefix+name)
	if err != nil {
		return errors.Wrap(err, "read server")
	}
	var server structs.Server
	if err := json.Unmarshal(object.Value, &server); err != nil {
		return errors.Wrap(err, "decode server")
	}
	server.State = structs.StateLeaving
	return standin.Register(s.ctx, store, server)
}
