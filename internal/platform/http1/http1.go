// Package http1 parses HTTP/1.1 messages strictly: a message whose framing is ambiguous is an error, and memory is allocated as
// bytes arrive, not as lengths announce them. It reads from a bufio.Reader and leaves there whatever follows a message. It
// keeps no state between messages. It is used by internal/platform's front, backend and standin, because net/http and Hertz
// accept a Content-Length beside a Transfer-Encoding and cannot tell how much of a call was written when a connection breaks.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Errors of a message. Errors of the underlying reader are returned unchanged, except that io.EOF in the middle of a message
// becomes io.ErrUnexpectedEOF.
var (
	ErrMalformed = errors.New("malformed message")
	ErrTooLarge  = errors.New("message too large")
	ErrTrailer   = errors.New("trailer")
)

// Limits bounds the size of a message.
type Limits struct {
	HeadBytes int // the first line and the header fields together
	Fields    int
	BodyBytes int
}

// Field is a header field. Its name is in lower case.
type Field struct{ Name, Value string }

// Head is the head of a request or a response.
type Head struct {
	Method, Target string // of a request
	Status         int    // of a response
	Fields         []Field
	Length         int  // of the body; 0 for none, -1 for chunked
	NoLength       bool // a response whose body ends with the connection, or a request without a length
	Close          bool // the sender closes the connection after this message
}

// Get returns the first value of a field and the number of its occurrences. The name must be in lower case.
func (h *Head) Get(name string) (value string, count int) {
	for _, f := range h.Fields {
		if f.Name == name {
			if count == 0 {
				value = f.Value
			}
			count++
		}
	}
	return value, count
}

func malformed(format string, a ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, a...))
}

// ReadRequest reads the head of a request. It returns io.EOF if the input ends before the first byte.
func ReadRequest(r *bufio.Reader, limits Limits) (*Head, error) {
	remaining := limits.HeadBytes
	line, err := readLine(r, &remaining)
	if err != nil {
		return nil, err
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !isToken(parts[0]) || parts[1] == "" || parts[1][0] != '/' && parts[1] != "*" {
		return nil, malformed("request line %.80q", line)
	}
	if parts[2] != "HTTP/1.1" {
		return nil, malformed("protocol %.20q", parts[2])
	}
	for i := range len(parts[1]) {
		if parts[1][i] <= ' ' || parts[1][i] >= 0x7f {
			return nil, malformed("target %.80q", parts[1])
		}
	}
	h := &Head{Method: parts[0], Target: parts[1]}
	if err := h.readFields(r, limits, &remaining, isRequestValueByte); err != nil {
		return nil, err
	}
	if h.NoLength {
		h.Length = 0
	}
	if _, count := h.Get("host"); count != 1 {
		return nil, malformed("%d Host fields", count)
	}
	return h, nil
}

// ReadResponse reads the head of a response, which may be an interim (1xx) one.
func ReadResponse(r *bufio.Reader, limits Limits) (*Head, error) {
	remaining := limits.HeadBytes
	line, err := readLine(r, &remaining)
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	if len(line) < 12 || !strings.HasPrefix(line, "HTTP/1.1 ") || len(line) > 12 && line[12] != ' ' {
		return nil, malformed("status line %.80q", line)
	}
	status, ok := parseDigits(line[9:12], 10)
	if !ok || status < 100 || status > 599 || status == 101 {
		return nil, malformed("status line %.80q", line)
	}
	h := &Head{Status: status}
	if err := h.readFields(r, limits, &remaining, isResponseValueByte); err != nil {
		return nil, err
	}
	if status < 200 || status == 204 || status == 304 {
		h.Length, h.NoLength = 0, false
	}
	return h, nil
}

// isRequestValueByte reports whether a field value of a request may contain a byte. Values are passed on to engines.
func isRequestValueByte(b byte) bool { return (b >= ' ' || b == '\t') && b != 0x7f }

// isResponseValueByte reports whether a field value of a response may contain a byte (RFC 9110, section 5.5). Values are not passed on, and a
// control character in one, such as an unreadable load report, is no reason to lose the response.
func isResponseValueByte(b byte) bool { return b != 0 && b != '\r' }

// readFields reads the header fields and determines how the body is framed.
func (h *Head) readFields(r *bufio.Reader, limits Limits, remaining *int, isValueByte func(byte) bool) error {
	for {
		line, err := readLine(r, remaining)
		if err != nil {
			return unexpectedEOF(err)
		}
		if line == "" {
			return h.setFraming(limits)
		}
		name, value, found := strings.Cut(line, ":")
		if !found || !isToken(name) { // a folded line begins with a space, which is not a token character
			return malformed("header line %.80q", line)
		}
		value = strings.Trim(value, " \t")
		for i := range len(value) {
			if !isValueByte(value[i]) {
				return malformed("header value of %.40q", name)
			}
		}
		if len(h.Fields) >= limits.Fields {
			return fmt.Errorf("%w: more than %d header fields", ErrTooLarge, limits.Fields)
		}
		h.Fields = append(h.Fields, Field{strings.ToLower(name), value})
	}
}

func (h *Head) setFraming(limits Limits) error {
	if v, _ := h.Get("connection"); strings.EqualFold(v, "close") {
		h.Close = true
	}
	length, lengthCount := h.Get("content-length")
	encoding, encodingCount := h.Get("transfer-encoding")
	switch {
	case lengthCount > 0 && encodingCount > 0:
		return malformed("Content-Length with Transfer-Encoding")
	case lengthCount > 1 || encodingCount > 1:
		return malformed("duplicate Content-Length or Transfer-Encoding")
	case encodingCount == 1:
		if !strings.EqualFold(encoding, "chunked") {
			return malformed("Transfer-Encoding %.40q", encoding)
		}
		h.Length = -1
	case lengthCount == 1:
		n, ok := parseDigits(length, 10)
		if !ok && len(length) > 0 && strings.Trim(length, "0123456789") == "" {
			return fmt.Errorf("%w: Content-Length %.40s", ErrTooLarge, length)
		}
		if !ok {
			return malformed("Content-Length %.40q", length)
		}
		if n > limits.BodyBytes {
			return fmt.Errorf("%w: Content-Length %d", ErrTooLarge, n)
		}
		h.Length = n
	default:
		h.NoLength = true
	}
	return nil
}

// readLine reads a line and returns it without its CRLF. remaining is the part of a size limit that is left, in bytes.
func readLine(r *bufio.Reader, remaining *int) (string, error) {
	var prefix []byte
	for {
		part, err := r.ReadSlice('\n')
		if *remaining -= len(part); *remaining < 0 {
			return "", fmt.Errorf("%w: head", ErrTooLarge)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			prefix = append(prefix, part...)
			continue
		}
		if err != nil {
			if len(prefix)+len(part) > 0 {
				err = unexpectedEOF(err)
			}
			return "", err
		}
		if prefix != nil {
			part = append(prefix, part...)
		}
		if len(part) < 2 || part[len(part)-2] != '\r' {
			return "", malformed("line without CR")
		}
		return string(part[:len(part)-2]), nil
	}
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseDigits parses an unsigned number of at most 9 digits, which covers every size that a limit could allow.
func parseDigits(s string, base int) (int, bool) {
	if len(s) == 0 || len(s) > 9 {
		return 0, false
	}
	for i := range len(s) {
		c := s[i] | 0x20
		if (s[i] < '0' || s[i] > '9') && (base != 16 || c < 'a' || c > 'f') {
			return 0, false
		}
	}
	n, err := strconv.ParseInt(s, base, 64)
	return int(n), err == nil
}

func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return s != ""
}

// bodyStepBytes is the memory that is allocated for a body before its bytes arrive.
const bodyStepBytes = 8 << 10

// ReadBody reads the body that a head announces. grow, unless nil, is called before memory for more bytes is used, and may
// refuse it with an error.
func ReadBody(r *bufio.Reader, h *Head, limits Limits, grow func(bytes int) error) ([]byte, error) {
	var body []byte
	readData := func(n int) error {
		if len(body)+n > limits.BodyBytes {
			return fmt.Errorf("%w: body", ErrTooLarge)
		}
		if grow != nil {
			if err := grow(n); err != nil {
				return err
			}
		}
		for n > 0 {
			step := min(n, max(bodyStepBytes, len(body)))
			start := len(body)
			body = append(body, make([]byte, step)...)
			if _, err := io.ReadFull(r, body[start:]); err != nil {
				return unexpectedEOF(err)
			}
			n -= step
		}
		return nil
	}
	if h.Length >= 0 {
		err := readData(h.Length)
		return body, err
	}
	for {
		n, err := readChunkSize(r, limits.BodyBytes)
		if err != nil {
			return nil, err
		}
		if n == 0 {
			return body, readTrailer(r)
		}
		if err := readData(n); err != nil {
			return nil, err
		}
		if err := readChunkEnd(r); err != nil {
			return nil, err
		}
	}
}

// ReadChunk appends the data of one chunk to buf once the chunk has come in full. It returns io.EOF after the last chunk, when
// the message is complete, and ErrTrailer if only the trailer behind that is malformed. A chunk must not be longer than maxBytes.
func ReadChunk(r *bufio.Reader, buf []byte, maxBytes int) ([]byte, error) {
	n, err := readChunkSize(r, maxBytes)
	if err != nil {
		return buf, err
	}
	if n == 0 {
		if err := readTrailer(r); err != nil {
			return buf, err
		}
		return buf, io.EOF
	}
	chunkStart := len(buf)
	for n > 0 {
		step := min(n, bodyStepBytes)
		start := len(buf)
		buf = append(buf, make([]byte, step)...)
		if _, err := io.ReadFull(r, buf[start:]); err != nil {
			return buf[:chunkStart], unexpectedEOF(err)
		}
		n -= step
	}
	if err := readChunkEnd(r); err != nil {
		return buf[:chunkStart], err
	}
	return buf, nil
}

// maxChunkLineBytes limits the line with a chunk's size and its extensions, which are ignored.
const maxChunkLineBytes = 256

func readChunkSize(r *bufio.Reader, maxBytes int) (int, error) {
	remaining := maxChunkLineBytes
	line, err := readLine(r, &remaining)
	if err != nil {
		return 0, unexpectedEOF(err)
	}
	size, _, _ := strings.Cut(line, ";")
	n, ok := parseDigits(strings.TrimRight(size, " \t"), 16)
	if !ok {
		return 0, malformed("chunk size %.40q", line)
	}
	if n > maxBytes {
		return 0, fmt.Errorf("%w: chunk of %d bytes", ErrTooLarge, n)
	}
	return n, nil
}

func readChunkEnd(r *bufio.Reader) error {
	var end [2]byte
	if _, err := io.ReadFull(r, end[:]); err != nil {
		return unexpectedEOF(err)
	}
	if !bytes.Equal(end[:], []byte("\r\n")) {
		return malformed("chunk data does not match its size")
	}
	return nil
}

// readTrailer reads the trailer fields after the last chunk.
func readTrailer(r *bufio.Reader) error {
	for remaining := maxChunkLineBytes * 16; ; {
		line, err := readLine(r, &remaining)
		if err != nil {
			return unexpectedEOF(err)
		}
		if line == "" {
			return nil
		}
		if name, _, found := strings.Cut(line, ":"); !found || !isToken(name) {
			return fmt.Errorf("%w: %w", ErrTrailer, malformed("%.80q", line))
		}
	}
}
