package ctl

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
	"golang.org/x/sync/errgroup"

	"ibisline/internal/objectapi"
	"ibisline/internal/operator"
	"ibisline/internal/structs"
)

// Paths that a daemon serves to operators.
const (
	pathStatus = "/v1/status"
	pathShares = "/v1/shares"
	pathDump   = "/v1/dump"
)

// serviceName names the daemons towards httpc.
const serviceName = "daemons"

const (
	// askTimeout bounds one request to a daemon.
	askTimeout = 2 * time.Second
	// maxAsked bounds the daemons asked at once.
	maxAsked = 32
	// maxReplyBytes bounds a daemon's reply.
	maxReplyBytes = 256 << 20
)

// daemons asks the daemons of the platform's list over HTTP.
type daemons struct {
	store   objectapi.Store
	service httpc.Service
	// orders has no time limit of its own, because an order may have to wait.
	orders httpc.Service
}

// answer is what one daemon replied, or why it did not.
type answer[T any] struct {
	daemon structs.Instance
	reply  T
	err    error
}

func newDaemons(store objectapi.Store) *daemons {
	breaker.NoBreakerFor(serviceName)
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	return &daemons{
		store:   store,
		service: httpc.NewServiceWithClient(serviceName, &http.Client{Transport: transport, Timeout: askTimeout}),
		orders:  httpc.NewServiceWithClient(serviceName, &http.Client{Transport: transport}),
	}
}

// list returns the daemons of the platform's list that are not leaving, by name.
func (d *daemons) list(ctx context.Context) ([]structs.Instance, error) {
	live, err := listObjects[structs.Instance](ctx, d.store, structs.InstancePrefix)
	if err != nil {
		return nil, err
	}
	live = slices.DeleteFunc(live, func(i structs.Instance) bool { return i.State != structs.StateLive })
	slices.SortFunc(live, func(a, b structs.Instance) int { return strings.Compare(a.Name, b.Name) })
	return live, nil
}

// listObjects returns the decoded objects of the platform under a prefix.
func listObjects[T any](ctx context.Context, store objectapi.Store, prefix string) ([]T, error) {
	objects, _, err := store.List(ctx, prefix)
	if err != nil {
		return nil, errors.Wrapf(err, "list %s", prefix)
	}
	values := make([]T, len(objects))
	for i, object := range objects {
		if err := json.Unmarshal(object.Value, &values[i]); err != nil {
			return nil, failed(ExitFailed, "object %s is malformed: %s", object.Key, err)
		}
	}
	return values, nil
}

// get asks one daemon and decodes its reply.
func (d *daemons) get(ctx context.Context, addr, path string, reply any) error {
	response, err := d.service.Do(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", response.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(reply)
}

// askAll asks many daemons at once; the answers are in their order.
func askAll[T any](ctx context.Context, d *daemons, instances []structs.Instance, path string) []answer[T] {
	answers := make([]answer[T], len(instances))
	var group errgroup.Group
	group.SetLimit(maxAsked)
	for i, instance := range instances {
		group.Go(func() error {
			answers[i].daemon = instance
			answers[i].err = d.get(ctx, instance.HTTPAddr, path, &answers[i].reply)
			return nil
		})
	}
	_ = group.Wait()
	return answers
}

// status shows the daemons.
func (c *command) status(ctx context.Context) error {
	instances, err := c.daemons.list(ctx)
	if err != nil {
		return err
	}
	answers := askAll[operator.Status](ctx, c.daemons, instances, pathStatus)
	return c.out.status(answers)
}

// dump shows the state of daemons.
func (c *command) dump(ctx context.Context, names []string) error {
	instances, err := c.daemons.list(ctx)
	if err != nil {
		return err
	}
	if len(names) > 0 {
		if instances, err = choose(instances, names); err != nil {
			return err
		}
	}
	answers := askAll[json.RawMessage](ctx, c.daemons, instances, pathDump)
	return c.out.dumps(answers)
}

// choose finds daemons by name; an IP:port stands for itself.
func choose(instances []structs.Instance, names []string) ([]structs.Instance, error) {
	var chosen []structs.Instance
	for _, name := range names {
		at := slices.IndexFunc(instances, func(i structs.Instance) bool { return i.Name == name })
		switch {
		case at >= 0:
			chosen = append(chosen, instances[at])
		case strings.Contains(name, ":"):
			chosen = append(chosen, structs.Instance{Name: name, HTTPAddr: name})
		default:
			return nil, failed(ExitNotFound, "there is no live daemon %q", name)
		}
	}
	return chosen, nil
}
