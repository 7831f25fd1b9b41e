package http1

import (
	"bufio"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// maxInterim is the largest number of 1xx responses before a final one.
const maxInterim = 8

// Values of ContentLength of fasthttp for bodies without a known length.
const (
	lengthChunked = -1
	lengthUnknown = -2
)

// Framing says which ends of a body are accepted.
type Framing uint8

const (
	// SelfDelimited bodies have a length or are chunked. A broken connection cannot
	// look like the end of one.
	SelfDelimited Framing = iota
	// AllowCloseDelimited bodies may also end with an orderly end of the connection;
	// a reset is an error.
	AllowCloseDelimited
)

// ReadResponse reads one whole response with a body of at most limit bytes.
// SkipBody of the response must be set for answers to HEAD.
func ReadResponse(response *fasthttp.Response, reader *bufio.Reader, limit int, framing Framing) error {
	header := &response.Header
	header.SetNoDefaultContentType(true)
	if err := readHeader(header, reader); err != nil {
		return err
	}
	if response.SkipBody || StatusHasNoBody(header.StatusCode()) {
		return nil
	}
	length := header.ContentLength()
	if length == lengthUnknown && framing == SelfDelimited {
		return eris.New("the end of the body is not marked")
	}
	if err := response.ReadBody(reader, limit); err != nil {
		return err
	}
	if length == lengthChunked {
		return header.ReadTrailer(reader)
	}
	return nil
}

// readHeader reads up to the header of the final response.
func readHeader(header *fasthttp.ResponseHeader, reader *bufio.Reader) error {
	for range maxInterim {
		if err := header.Read(reader); err != nil {
			return err
		}
		status := header.StatusCode()
		if status >= 200 && status <= 599 {
			return nil
		}
		if status < 100 || status > 199 || status == fasthttp.StatusSwitchingProtocols {
			return eris.Errorf("unexpected status %d", status)
		}
	}
	return eris.New("too many interim responses")
}

// StatusHasNoBody reports whether responses with a status have no body.
func StatusHasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}
