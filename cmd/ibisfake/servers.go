package main

import (
	"context"
	"net"
	"time"

	"ibisline/internal/fake/engine"
	"ibisline/internal/fake/objects"
	"ibisline/internal/fake/service"
	"ibisline/internal/fake/standin"
	"ibisline/internal/structs"
)

// listenArgs are common to all servers.
type listenArgs struct {
	Listen    string `arg:"--listen" default:"127.0.0.1:0" help:"IP:port; port 0 takes a free one"`
	ReadyFile string `arg:"--ready-file" help:"file that gets the address once it is open"`
}

// serverArgs describe a backend server to the platform.
type serverArgs struct {
	listenArgs
	Register   string `arg:"--register" help:"IP:port of the object API to enter the server into"`
	Name       string `arg:"--name,required"`
	Region     string `arg:"--region" default:"local"`
	DataCentre string `arg:"--dc" default:"local-1"`
}

// register enters a server that listens into the platform.
func (a *serverArgs) register(ctx context.Context, listener net.Listener, server structs.Server) error {
	if a.Register == "" {
		return nil
	}
	server.Name = a.Name
	server.Region = a.Region
	server.DataCentre = a.DataCentre
	server.Addr = listener.Addr().String()
	server.State = structs.StateLive
	return standin.Register(ctx, standin.NewStore(a.Register), server)
}

type objectsArgs struct {
	listenArgs
}

func (a *objectsArgs) run(ctx context.Context) error {
	listener, err := standin.Listen(a.Listen, a.ReadyFile)
	if err != nil {
		return err
	}
	return standin.ServeHTTP(ctx, listener, objects.Handler(objects.New()))
}

type engineArgs struct {
	serverArgs
	Models        []string      `arg:"--models" help:"names of models, separated by spaces"`
	KVTokens      int           `arg:"--kv-tokens" help:"capacity of the KV memory in tokens"`
	MaxBatch      int           `arg:"--max-batch" help:"sequences in one step"`
	TokensPerStep int           `arg:"--tokens-per-step" help:"tokens that a sequence gains in a step"`
	Step          time.Duration `arg:"--step" help:"time of a step over an empty batch"`
	StepPerSeq    time.Duration `arg:"--step-per-sequence" help:"time that each sequence adds to a step"`
	Prefill       time.Duration `arg:"--prefill-per-token" help:"time that each uncached prompt token adds to a step"`
	LoadLag       time.Duration `arg:"--load-lag" help:"age of load reports"`
	EventLag      time.Duration `arg:"--event-lag" help:"age of cache events"`
	EventGap      int           `arg:"--event-gap" help:"lose each so many-th cache event; 0 loses none"`
	RestartAfter  time.Duration `arg:"--restart-after" help:"time that a crashed engine stays down"`
	KVTransfer    float64       `arg:"--kv-transfer" help:"import and export KV cache at so many tokens a second; 0 offers neither"`
	NoFences      bool          `arg:"--no-fences" help:"take orders with any fencing number"`
	Scale         float64       `arg:"--scale" help:"multiplies all durations"`
}

// newEngineArgs returns the defaults of an engine.
func newEngineArgs() *engineArgs {
	d := engine.DefaultSettings()
	return &engineArgs{
		Models:        d.Models,
		KVTokens:      d.KVTokens,
		MaxBatch:      d.MaxBatch,
		TokensPerStep: d.TokensPerStep,
		Step:          d.StepBase,
		StepPerSeq:    d.StepPerSequence,
		Prefill:       d.PrefillPerToken,
		LoadLag:       d.LoadLag,
		EventLag:      d.EventLag,
		EventGap:      d.EventGap,
		RestartAfter:  d.RestartAfter,
		Scale:         d.Scale,
	}
}

// settings returns the engine's settings.
func (a *engineArgs) settings() engine.Settings {
	s := engine.DefaultSettings()
	s.Name = a.Name
	s.Models = a.Models
	s.KVTokens = a.KVTokens
	s.MaxBatch = a.MaxBatch
	s.TokensPerStep = a.TokensPerStep
	s.StepBase = a.Step
	s.StepPerSequence = a.StepPerSeq
	s.PrefillPerToken = a.Prefill
	s.LoadLag = a.LoadLag
	s.EventLag = a.EventLag
	s.EventGap = a.EventGap
	s.RestartAfter = a.RestartAfter
	s.ImportRate = a.KVTransfer
	s.Fences = !a.NoFences
	s.Scale = a.Scale
	return s
}

func (a *engineArgs) run(ctx context.Context) error {
	listener, err := standin.Listen(a.Listen, a.ReadyFile)
	if err != nil {
		return err
	}
	described := structs.Server{
		Kind:           structs.KindEngine,
		Models:         a.Models,
		KVTokens:       a.KVTokens,
		Fences:         !a.NoFences,
		KVTransfer:     a.KVTransfer > 0,
		KVTransferRate: a.KVTransfer,
	}
	if err := a.register(ctx, listener, described); err != nil {
		return err
	}
	return engine.Serve(ctx, engine.New(a.settings()), listener)
}

type serviceArgs struct {
	serverArgs
	Service string `arg:"--service" help:"name under which callers address the service; default is --name"`
	Slots   int    `arg:"--slots" help:"calls under way at most; 0 means unlimited"`
	Lookup  bool   `arg:"--lookup" help:"answer look-ups of calls by key"`
}

func (a *serviceArgs) run(ctx context.Context) error {
	listener, err := standin.Listen(a.Listen, a.ReadyFile)
	if err != nil {
		return err
	}
	described := structs.Server{
		Kind:    structs.KindService,
		Service: a.Service,
		Slots:   a.Slots,
		Lookup:  a.Lookup,
	}
	if described.Service == "" {
		described.Service = a.Name
	}
	if err := a.register(ctx, listener, described); err != nil {
		return err
	}
	played := service.New(service.Settings{Name: a.Name, Lookup: a.Lookup})
	return standin.ServeHTTP(ctx, listener, played.Handler())
}
