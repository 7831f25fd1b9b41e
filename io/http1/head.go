package http1

import (
	"bufio"
	"bytes"
	"errors"
)

var (
	errStatusLine = errors.New("the status line is not valid")
	errHeaderLine = errors.New("a header line is not valid")
	errLineEnd    = errors.New("a line of the head does not end with CRLF")
)

// tokenBytes holds which bytes a token of RFC 9110 may have.
var tokenBytes = func() (allowed [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		allowed[c] = true
	}
	return allowed
}()

// IsToken reports whether a text is a token of RFC 9110, as header names must be.
func IsToken(text []byte) bool { return len(text) > 0 && tokenLength(text) == len(text) }

// tokenLength returns the number of bytes at the start of a text that a token may have.
func tokenLength(text []byte) int {
	for i, c := range text {
		if !tokenBytes[c] {
			return i
		}
	}
	return len(text)
}

// headScanner returns the lines of a head in the buffer of a reader. It consumes nothing.
type headScanner struct {
	reader *bufio.Reader
	// offset is the number of buffered bytes that were scanned.
	offset int
}

// next returns the next line without its end. It reads until the line is complete.
func (s *headScanner) next() ([]byte, error) {
	searched := s.offset
	for {
		buffered, _ := s.reader.Peek(s.reader.Buffered())
		if n := bytes.IndexByte(buffered[searched:], '\n'); n >= 0 {
			line, isCRLF := bytes.CutSuffix(buffered[s.offset:searched+n], []byte("\r"))
			if !isCRLF {
				return nil, errLineEnd
			}
			s.offset = searched + n + 1
			return line, nil
		}
		searched = len(buffered)
		if _, err := s.reader.Peek(searched + 1); err != nil {
			return nil, err
		}
	}
}

// checkHead waits until a whole head of a response is buffered, and checks each line as
// soon as it is complete. fasthttp checks neither the status nor the version, and accepts
// names with spaces, folded lines and lines that end with a line feed only.
func checkHead(reader *bufio.Reader) error {
	s := headScanner{reader: reader}
	line, err := s.next()
	if err != nil {
		return err
	}
	if !isStatusLine(line) {
		return errStatusLine
	}
	return s.checkFields()
}

// checkTrailer is checkHead for the trailer of a chunked body.
func checkTrailer(reader *bufio.Reader) error {
	s := headScanner{reader: reader}
	return s.checkFields()
}

// checkFields checks the names of the header lines up to the empty line.
func (s *headScanner) checkFields() error {
	for {
		line, err := s.next()
		if err != nil || len(line) == 0 {
			return err
		}
		name := tokenLength(line)
		if name == 0 || name == len(line) || line[name] != ':' {
			return errHeaderLine
		}
	}
}

// isStatusLine reports whether a line is a status line of HTTP/1.0 or 1.1 with a status
// from 100 to 599. The space before the reason is required also if the reason is empty.
func isStatusLine(line []byte) bool {
	const version = "HTTP/1."
	// The line is version, minor number, space, three digits, space, reason.
	if len(line) < len("HTTP/1.1 200 ") || string(line[:len(version)]) != version {
		return false
	}
	rest := line[len(version):]
	if rest[0] != '0' && rest[0] != '1' || rest[1] != ' ' || rest[5] != ' ' {
		return false
	}
	if rest[2] < '1' || rest[2] > '5' || !isDigit(rest[3]) || !isDigit(rest[4]) {
		return false
	}
	for _, c := range rest[6:] {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }
