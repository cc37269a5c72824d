package httpresponse

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// CheckBody makes the body of a response that is read from conn return io.EOF only at the end of a whole
// response.
func CheckBody(response *http.Response, conn *Conn) {
	if response.Body != http.NoBody {
		response.Body = &checkedBody{ReadCloser: response.Body, response: response, conn: conn}
	}
}

// EndsWithConnection reports whether the body of a response has neither a length nor chunks, so that its
// end is that of the connection.
func EndsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}

// checkedBody is a body whose end is checked.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
	conn     *Conn
}

// Read closes the connection if it returns an error instead of io.EOF.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	cause := checkTrailer(b.response.Trailer)
	if cause == nil && EndsWithConnection(b.response) {
		cause = b.conn.CheckEnd()
	}
	if cause != nil {
		return n, errors.Join(cause, b.conn.Close())
	}
	return n, err
}
