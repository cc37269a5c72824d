package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"
)

// GetJSON sends a GET request and decodes the response into into, which may be nil. A
// status other than 200 is an error.
func (f *Fleet) GetJSON(ctx context.Context, url string, into any) error {
	return f.doJSON(ctx, http.MethodGet, url, nil, into)
}

// SetFaults replaces the faults of the stand-in name.
func (f *Fleet) SetFaults(ctx context.Context, name string, faults any) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return errors.Wrap(err, "encode faults")
	}
	return f.doJSON(ctx, http.MethodPut, "http://"+f.Addr(name)+"/faults", body, nil)
}

// Counts decodes the counters of the stand-in name into into.
func (f *Fleet) Counts(ctx context.Context, name string, into any) error {
	return f.GetJSON(ctx, "http://"+f.Addr(name)+"/counts", into)
}

func (f *Fleet) doJSON(ctx context.Context, method, url string, body []byte, into any) error {
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
		return errors.Wrap(err, "decode response")
	}
	return nil
}
