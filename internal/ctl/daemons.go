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

	"ibisline/internal/httpresponse"
	"ibisline/internal/objectapi"
	"ibisline/internal/operator"
	"ibisline/internal/structs"
)

// HTTP paths that a daemon serves to operators.
const (
	pathStatus = "/v1/status"
	pathShares = "/v1/shares"
	pathDump   = "/v1/dump"
	pathTurns  = "/v1/turns/"
)

// serviceName identifies the daemons to httpc and its circuit breaker.
const serviceName = "daemons"

const (
	// queryTimeout bounds one request to a daemon.
	queryTimeout = 2 * time.Second
	// maxConcurrentQueries bounds the daemons queried in parallel.
	maxConcurrentQueries = 32
	// maxReplyBytes bounds a daemon's reply.
	maxReplyBytes = 256 << 20
)

// daemonClient queries the daemons registered with the platform over HTTP.
type daemonClient struct {
	store   objectapi.Store
	service httpc.Service
	// orders has no timeout of its own, because an order may have to wait; the
	// timeout of the command bounds it.
	orders httpc.Service
}

// daemonReply is the decoded reply of one daemon, or the error of its query.
type daemonReply[T any] struct {
	daemon structs.Instance
	value  T
	err    error
}

func newDaemonClient(store objectapi.Store) *daemonClient {
	breaker.NoBreakerFor(serviceName)
	base := http.DefaultTransport.(*http.Transport).Clone()
	base.Proxy = nil
	transport := httpresponse.NewTransport(base)
	return &daemonClient{
		store:   store,
		service: httpc.NewServiceWithClient(serviceName, &http.Client{Transport: transport, Timeout: queryTimeout}),
		orders:  httpc.NewServiceWithClient(serviceName, &http.Client{Transport: transport}),
	}
}

// list returns the live daemons registered with the platform, sorted by name.
func (d *daemonClient) list(ctx context.Context) ([]structs.Instance, error) {
	live, err := listObjects[structs.Instance](ctx, d.store, structs.InstancePrefix)
	if err != nil {
		return nil, err
	}
	live = slices.DeleteFunc(live, func(i structs.Instance) bool { return i.State != structs.StateLive })
	slices.SortFunc(live, func(a, b structs.Instance) int { return strings.Compare(a.Name, b.Name) })
	return live, nil
}

// listObjects returns the decoded platform objects under a key prefix.
func listObjects[T any](ctx context.Context, store objectapi.Store, prefix string) ([]T, error) {
	objects, _, err := store.List(ctx, prefix)
	if err != nil {
		return nil, errors.Wrapf(err, "list %s", prefix)
	}
	values := make([]T, len(objects))
	for i, object := range objects {
		if err := json.Unmarshal(object.Value, &values[i]); err != nil {
			return nil, newFailure(ExitFailed, "object %s is malformed: %s", object.Key, err)
		}
	}
	return values, nil
}

// get queries one daemon and decodes its JSON reply.
func (d *daemonClient) get(ctx context.Context, addr, path string, reply any) error {
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

// queryAll queries daemons in parallel and returns their replies in the order of
// instances.
func queryAll[T any](ctx context.Context, d *daemonClient, instances []structs.Instance, path string) []daemonReply[T] {
	replies := make([]daemonReply[T], len(instances))
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for i, instance := range instances {
		group.Go(func() error {
			replies[i].daemon = instance
			replies[i].err = d.get(ctx, instance.HTTPAddr, path, &replies[i].value)
			return nil
		})
	}
	_ = group.Wait()
	return replies
}

// status prints the status of the live daemons.
func (c *command) status(ctx context.Context) error {
	instances, err := c.daemons.list(ctx)
	if err != nil {
		return err
	}
	replies := queryAll[operator.Status](ctx, c.daemons, instances, pathStatus)
	return c.out.status(replies)
}

// dump prints the state of the named daemons, or of all live daemons.
func (c *command) dump(ctx context.Context, names []string) error {
	instances, err := c.daemons.list(ctx)
	if err != nil {
		return err
	}
	if len(names) > 0 {
		if instances, err = selectInstances(instances, names); err != nil {
			return err
		}
	}
	replies := queryAll[json.RawMessage](ctx, c.daemons, instances, pathDump)
	return c.out.dumps(replies)
}

// selectInstances returns daemons by name. A name that is an IP:port addresses a
// daemon directly, registered or not.
func selectInstances(instances []structs.Instance, names []string) ([]structs.Instance, error) {
	var selected []structs.Instance
	for _, name := range names {
		at := slices.IndexFunc(instances, func(i structs.Instance) bool { return i.Name == name })
		switch {
		case at >= 0:
			selected = append(selected, instances[at])
		case strings.Contains(name, ":"):
			selected = append(selected, structs.Instance{Name: name, HTTPAddr: name})
		default:
			return nil, newFailure(ExitNotFound, "there is no live daemon %q", name)
		}
	}
	return selected, nil
}
