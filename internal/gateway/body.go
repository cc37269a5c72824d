package gateway

import (
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"ibisline/internal/httpconn"
	"ibisline/internal/request"
	"ibisline/internal/verdict"
)

// defaultMaxBodyBytes limits request bodies when the configuration sets no limit.
const defaultMaxBodyBytes = 4 << 20

// smallBodyBytes is the size up to which the memory for a body is not counted before it is read.
const smallBodyBytes = 64 << 10

// bodyLimit returns the limit in force for request bodies.
func bodyLimit(configured int64) int64 {
	if configured <= 0 {
		return defaultMaxBodyBytes
	}
	return configured
}

// readBody reads the whole body of a request, so that it can be resent. Errors are
// refusals.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	limit = bodyLimit(limit)
	var body []byte
	var err error
	limited := http.MaxBytesReader(w, r.Body, limit)
	if r.ContentLength > 0 && r.ContentLength <= limit {
		if r.ContentLength > smallBodyBytes {
			// It is allocated at once, whether or not the caller sends it.
			if err := httpconn.Hold(r.Context(), int(r.ContentLength)); err != nil {
				return nil, verdict.Refuse(verdict.Canceled, "the connection of the caller was closed")
			}
		}
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(limited, body)
	} else {
		body, err = io.ReadAll(limited)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, verdict.Refuse(verdict.BodyTooLarge, "the body exceeds %d bytes", limit)
	case err != nil && r.Context().Err() != nil:
		return nil, verdict.Refuse(verdict.Canceled, "the caller left before its request was read")
	case err != nil:
		return nil, verdict.Refuse(verdict.BadRequest, "the body cannot be read: %v", err)
	}
	return body, nil
}

// splitFraction returns a number in [0, 1) that selects the target of a split route. It
// is derived from the program, so that all requests of a program take the same target,
// and from the request ID where there is no program.
func splitFraction(r *request.Request) float64 {
	key := r.Program
	if key == "" {
		key = r.ID
	}
	return hashFraction(xxhash.Sum64String(key))
}

// hashFraction maps a hash to a number in [0, 1).
func hashFraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }
