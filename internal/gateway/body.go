package gateway

import (
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"ibisline/internal/request"
	"ibisline/internal/verdict"
)

// defaultBodyBytes bounds a body where the configuration says nothing.
const defaultBodyBytes = 4 << 20

// readBody reads the whole body of a request, so that it can be sent again.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	var body []byte
	var err error
	limited := http.MaxBytesReader(w, r.Body, limit)
	if r.ContentLength > 0 && r.ContentLength <= limit {
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

// drawOf returns a number from 0 to 1 that is the same for one program, so that a
// split route treats a program alike, and otherwise for one request.
func drawOf(r *request.Request) float64 {
	key := r.Program
	if key == "" {
		key = r.ID
	}
	return unit(xxhash.Sum64String(key))
}

// unit maps a hash to a number from 0 up to, but without, 1.
func unit(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }
