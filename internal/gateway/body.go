package gateway

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"ibisline/internal/httpconn"
	"ibisline/internal/request"
	"ibisline/internal/verdict"
)

// defaultMaxBodyBytes limits request bodies when the configuration sets no limit.
const defaultMaxBodyBytes = 4 << 20

const (
	// firstBodyBytes is the memory reserved first for a body of unknown length. It doubles as the body grows.
	firstBodyBytes = 16 << 10
	// netHTTPDiscards is the size up to which net/http reads the rest of a body before it sends a response.
	netHTTPDiscards = 256 << 10
	// discardTime limits the time for which the rest of the body of a refused request is read.
	discardTime = time.Second
)

// bodyLimit returns the limit in force for request bodies.
func bodyLimit(configured int64) int64 {
	if configured <= 0 {
		return defaultMaxBodyBytes
	}
	return configured
}

// readBody reads the whole body of a request, so that it can be resent, until the request's deadline. The
// memory for it is reserved before. Errors are refusals.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	limit = bodyLimit(limit)
	if r.ContentLength > limit {
		return nil, verdict.Refuse(verdict.BodyTooLarge, "the body exceeds %d bytes", limit)
	}
	if err := reserveMemory(r.Context(), max(r.ContentLength, 0)); err != nil || r.ContentLength == 0 {
		return nil, err
	}
	// An error means that the connection is closed, or that its reads do not block.
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
	limited := http.MaxBytesReader(w, r.Body, limit)
	var body []byte
	var err error
	if r.ContentLength > 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(limited, body)
	} else {
		body, err = readGrowing(r.Context(), limited)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, verdict.Refuse(verdict.BodyTooLarge, "the body exceeds %d bytes", limit)
	case verdict.Is(err, verdict.NotRun):
		return nil, err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, verdict.Refuse(verdict.DeadlinePassed, "the body did not arrive before the deadline")
	case r.Context().Err() != nil:
		return nil, verdict.Refuse(verdict.Canceled, "the caller left before its request was read")
	default:
		return nil, verdict.Refuse(verdict.BadRequest, "the body cannot be read: %v", err)
	}
}

// readGrowing reads a body of unknown length. Errors of the reservation are refusals.
func readGrowing(ctx context.Context, from io.Reader) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			size := max(2*cap(body), firstBodyBytes)
			if err := reserveMemory(ctx, int64(size)); err != nil {
				return nil, err
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			httpconn.Release(ctx, cap(body))
			body = grown
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// reserveMemory reserves memory for a request that was not sent to a server yet. Errors are refusals.
func reserveMemory(ctx context.Context, bytes int64) error {
	err := httpconn.Reserve(ctx, int(bytes))
	var noRoom *httpconn.NoRoomError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &noRoom):
		return verdict.Refuse(verdict.NoMemory, "too many large requests at a time").RetryIn(noRoom.RetryAfter)
	default:
		return verdict.Refuse(verdict.Canceled, "the connection of the caller was closed")
	}
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
