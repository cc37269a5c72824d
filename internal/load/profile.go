// Package load drives daemons with open-loop programs: their starts, shapes and
// pauses are fixed by a profile and a seed before the run, and waiting is counted
// from the intended start. It measures whole programs.
package load

import (
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"ibisline/internal/structs"
)

// Duration is a time span in the form that time.ParseDuration reads.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Std returns the duration as time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Range is a pair of bounds. Numbers are drawn log-uniformly between them, so
// that most are small and a few are large.
type Range [2]float64

// Profile describes a fleet, its catalogue and the work offered to it.
type Profile struct {
	Name string
	// Start is the time during which programs start; Drain the time after it
	// in which they may end.
	Start Duration
	Drain Duration
	Model string
	Fleet FleetShape
	// Engine describes all engines.
	Engine EngineShape
	Entry  []structs.Entry
	Work   []Work
	// Slow are engines that are slow for a while in runs with stragglers.
	Slow []Slowness
	// FairFrom and FairTo bound the time in which shares are compared.
	FairFrom Duration `toml:"fair_from"`
	FairTo   Duration `toml:"fair_to"`
}

// FleetShape is the number of processes in each region.
type FleetShape struct {
	Regions []string
	// Daemons and Engines are for each region, in the order of Regions.
	Daemons  []int
	Engines  []int
	Services int
	Service  string
}

// EngineShape are the settings of the stand-in engines.
type EngineShape struct {
	KVTokens int `toml:"kv_tokens"`
	MaxBatch int `toml:"max_batch"`
	// CapacityBatch is the batch at which the time between tokens is the one to
	// be kept; the capacity is the throughput at that batch.
	CapacityBatch   int      `toml:"capacity_batch"`
	Step            Duration `toml:"step"`
	StepPerSequence Duration `toml:"step_per_sequence"`
	PrefillPerToken Duration `toml:"prefill_per_token"`
	// KVTransfer is the rate at which engines import KV cache from each other,
	// in tokens a second; 0 means that they do not offer it.
	KVTransfer float64 `toml:"kv_transfer"`
}

// Slowness slows one engine, counted over all regions, during a part of the run.
type Slowness struct {
	Engine int
	Speed  float64
	From   Duration
	To     Duration
}

// Crest multiplies the rate of a work for a while.
type Crest struct {
	From   Duration
	To     Duration
	Factor float64
}

// Work is a stream of similar programs under one entry.
type Work struct {
	Name  string
	Entry string
	// Load is the part of the engines' capacity that the work takes up outside
	// of crests when all its history is cached.
	Load  float64
	Crest []Crest
	// Turns, Prompt, Step and Output shape a program: the number of turns, the
	// tokens of the first prompt, of each later one, and of each answer.
	Turns  Range
	Prompt Range
	Step   Range
	Output Range
	// PauseMS is the time in milliseconds that a tool takes between two turns.
	PauseMS Range `toml:"pause_ms"`
	// Calls is the chance that a call that may not be repeated follows a turn.
	Calls float64
	// SubAgents is the number of sub-agents after the first turn, each with
	// SubTurns turns.
	SubAgents Range `toml:"sub_agents"`
	SubTurns  Range `toml:"sub_turns"`
	// InTime is the latency within which a program counts as served in time;
	// its caller gives up after it.
	InTime Duration `toml:"in_time"`
	// Short marks work that must not wait behind long work.
	Short bool
}

// entryTable reads a catalogue entry; its keys are those of its JSON form.
type entryTable struct {
	Name          string
	Owner         string
	Class         string
	Share         float64
	MaxConcurrent int `toml:"max_concurrent"`
	MaxQueued     int `toml:"max_queued"`
	BudgetTokens  int `toml:"budget_tokens"`
}

// profileFile is the file form of a Profile.
type profileFile struct {
	Profile
	Entry []entryTable
}

// ReadProfile reads a profile from TOML.
func ReadProfile(path string) (Profile, error) {
	file, err := os.Open(path)
	if err != nil {
		return Profile{}, errors.Wrap(err, "open profile")
	}
	defer file.Close()
	var p profileFile
	decoder := toml.NewDecoder(file).DisallowUnknownFields()
	if err := decoder.Decode(&p); err != nil {
		return Profile{}, errors.Wrapf(err, "profile %s", path)
	}
	for _, e := range p.Entry {
		p.Profile.Entry = append(p.Profile.Entry, structs.Entry{
			Name:          e.Name,
			Owner:         e.Owner,
			Class:         e.Class,
			Share:         e.Share,
			MaxConcurrent: e.MaxConcurrent,
			MaxQueued:     e.MaxQueued,
			BudgetTokens:  e.BudgetTokens,
		})
	}
	return p.Profile, p.check()
}

// check looks for references to entries that are not there.
func (p *Profile) check() error {
	for _, work := range p.Work {
		if _, ok := p.EntryOf(work); !ok {
			return errors.Errorf("work %q names the unknown entry %q", work.Name, work.Entry)
		}
	}
	if len(p.Fleet.Engines) != len(p.Fleet.Regions) || len(p.Fleet.Daemons) != len(p.Fleet.Regions) {
		return errors.New("fleet: daemons and engines need one number for each region")
	}
	return nil
}

// EntryOf returns the catalogue entry of a work.
func (p *Profile) EntryOf(work Work) (structs.Entry, bool) {
	for _, entry := range p.Entry {
		if entry.Name == work.Entry {
			return entry, true
		}
	}
	return structs.Entry{}, false
}

// TotalEngines returns the number of engines in all regions.
func (p *Profile) TotalEngines() int {
	total := 0
	for _, n := range p.Fleet.Engines {
		total += n
	}
	return total
}
