package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"
)

// GetJSON decodes the answer to a GET request; into may be nil.
func (f *Fleet) GetJSON(ctx context.Context, url string, into any) error {
	return f.exchange(ctx, http.MethodGet, url, nil, into)
}

// SetFaults replaces the faults of a stand-in.
func (f *Fleet) SetFaults(ctx context.Context, name string, faults any) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return errors.Wrap(err, "encode faults")
	}
	return f.exchange(ctx, http.MethodPut, "http://"+f.Addr(name)+"/faults", body, nil)
}

// Counts decodes the counters of a stand-in.
func (f *Fleet) Counts(ctx context.Context, name string, into any) error {
	return f.GetJSON(ctx, "http://"+f.Addr(name)+"/counts", into)
}

func (f *Fleet) exchange(ctx context.Context, method, url string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	response, err := f.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s %s: status %d", method, url, response.StatusCode)
	}
	if into == nil {
		return nil
	}
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	return nil
}
