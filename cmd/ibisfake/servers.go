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
	Listen    string `arg:"--listen" default:"127.0.0.1:0" help:"IP:port to listen on; port 0 selects a free port"`
	ReadyFile string `arg:"--ready-file" help:"file to write the address to once the server listens"`
}

// serverArgs are common to backend servers and describe one to the platform.
type serverArgs struct {
	listenArgs
	Register   string `arg:"--register" help:"IP:port of the object API to register the server with"`
	Name       string `arg:"--name,required"`
	Region     string `arg:"--region" default:"local"`
	DataCentre string `arg:"--dc" default:"local-1"`
}

// register registers a listening server with the platform, if --register was given.
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
	Models        []string      `arg:"--models" help:"names of the models, separated by spaces"`
	KVTokens      int           `arg:"--kv-tokens" help:"capacity of the KV cache in tokens"`
	MaxBatch      int           `arg:"--max-batch" help:"maximum number of sequences in one step"`
	TokensPerStep int           `arg:"--tokens-per-step" help:"tokens generated per sequence and step"`
	Step          time.Duration `arg:"--step" help:"duration of a step with an empty batch"`
	StepPerSeq    time.Duration `arg:"--step-per-sequence" help:"time that each sequence adds to a step"`
	Prefill       time.Duration `arg:"--prefill-per-token" help:"time that each uncached prompt token adds to a step"`
	LoadLag       time.Duration `arg:"--load-lag" help:"age of load reports"`
	EventLag      time.Duration `arg:"--event-lag" help:"age of cache events"`
	EventGap      int           `arg:"--event-gap" help:"drop every Nth cache event; 0 drops none"`
	RestartAfter  time.Duration `arg:"--restart-after" help:"time until a crashed engine restarts"`
	KVTransfer    float64       `arg:"--kv-transfer" help:"rate of KV cache import and export in tokens per second; 0 disables both"`
	NoFences      bool          `arg:"--no-fences" help:"accept orders with any fencing number"`
	Scale         float64       `arg:"--scale" help:"multiplies all durations"`
}

// newEngineArgs returns the default engine arguments.
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

// settings converts the arguments to engine settings.
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
	description := structs.Server{
		Kind:           structs.KindEngine,
		Models:         a.Models,
		KVTokens:       a.KVTokens,
		Fences:         !a.NoFences,
		KVTransfer:     a.KVTransfer > 0,
		KVTransferRate: a.KVTransfer,
	}
	if err := a.register(ctx, listener, description); err != nil {
		return err
	}
	return engine.Serve(ctx, engine.New(a.settings()), listener)
}

type serviceArgs struct {
	serverArgs
	Service string `arg:"--service" help:"name under which callers address the service; default is --name"`
	Slots   int    `arg:"--slots" help:"maximum number of concurrent calls; 0 means unlimited"`
	Lookup  bool   `arg:"--lookup" help:"answer lookups of calls by key"`
}

func (a *serviceArgs) run(ctx context.Context) error {
	listener, err := standin.Listen(a.Listen, a.ReadyFile)
	if err != nil {
		return err
	}
	description := structs.Server{
		Kind:    structs.KindService,
		Service: a.Service,
		Slots:   a.Slots,
		Lookup:  a.Lookup,
	}
	if description.Service == "" {
		description.Service = a.Name
	}
	if err := a.register(ctx, listener, description); err != nil {
		return err
	}
	fake := service.New(service.Settings{Name: a.Name, Lookup: a.Lookup})
	return standin.ServeHTTP(ctx, listener, fake.Handler())
}
