package http1

import (
	"bufio"
	"errors"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// maxInterimResponses is the maximum number of header blocks that are read for one
// response, interim (1xx) and final.
const maxInterimResponses = 8

// Values that ContentLength of fasthttp returns for bodies without a known length.
const (
	lengthChunked = -1
	lengthUnknown = -2
)

// Framing selects the accepted kinds of body framing.
type Framing uint8

const (
	// SelfDelimited accepts bodies that have a length or are chunked. The end of a
	// broken connection cannot be taken for the end of the body.
	SelfDelimited Framing = iota
	// AllowCloseDelimited also accepts bodies that end with the connection. An
	// orderly close ends the body; a reset is an error.
	AllowCloseDelimited
)

// ReadResponse reads one whole response with a body of at most maxBodyBytes.
// response.SkipBody must be set for a response to HEAD.
func ReadResponse(response *fasthttp.Response, reader *bufio.Reader, maxBodyBytes int, framing Framing, room Room) error {
	if err := ReadHeader(response, reader); err != nil {
		return err
	}
	return ReadBody(response, reader, maxBodyBytes, framing, room)
}

// ReadHeader reads the header of one response.
func ReadHeader(response *fasthttp.Response, reader *bufio.Reader) error {
	response.Header.SetNoDefaultContentType(true)
	return readHeader(&response.Header, reader)
}

// ReadBody reads the body that follows a header. response.SkipBody must be set for a
// response to HEAD. The body is not a buffer of fasthttp and stays valid after the
// response is released.
func ReadBody(response *fasthttp.Response, reader *bufio.Reader, maxBodyBytes int, framing Framing, room Room) error {
	header := &response.Header
	if response.SkipBody || StatusHasNoBody(header.StatusCode()) {
		return nil
	}
	b := BodyReader{Reader: reader, MaxBytes: maxBodyBytes, Room: room}
	var body []byte
	var err error
	length := header.ContentLength()
	switch {
	case length == lengthUnknown && framing == SelfDelimited:
		return eris.New("the body is not self-delimited")
	case length == lengthUnknown:
		body, err = b.ReadToEnd()
	case length == lengthChunked:
		body, err = b.ReadChunked()
	default:
		body, err = b.ReadSized(length)
	}
	if err != nil {
		return err
	}
	response.SetBodyRaw(body)
	if length != lengthChunked {
		return nil
	}
	if err := checkTrailer(reader); err != nil && !errors.Is(err, bufio.ErrBufferFull) {
		return err
	}
	return header.ReadTrailer(reader)
}

// readHeader reads the header of the final response and skips interim responses.
func readHeader(header *fasthttp.ResponseHeader, reader *bufio.Reader) error {
	for range maxInterimResponses {
		// fasthttp returns its own error for a head that is larger than the buffer.
		if err := checkHead(reader); err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
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

// EndsWithConnection reports whether only the end of the connection ends the body of a
// response. response.SkipBody must be set for a response to HEAD.
func EndsWithConnection(response *fasthttp.Response) bool {
	return !response.SkipBody && !StatusHasNoBody(response.StatusCode()) && response.Header.ContentLength() == lengthUnknown
}

// StatusHasNoBody reports whether responses with the status never have a body. Interim
// responses are not considered.
func StatusHasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}
