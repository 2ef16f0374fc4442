// Package http1 reads HTTP/1.1 messages strictly: what two readers could frame in two ways is an error, and nothing
// is taken on a sender's word but the bytes that came. It reads from a bufio.Reader and leaves whatever follows a
// message there. It keeps no state between messages and decides nothing. internal/platform's front, backend and
// the stand-ins use it: net/http and Hertz accept a Content-Length beside a Transfer-Encoding and can't tell how
// much of a call was written when a connection breaks.
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

// Errors of a message. A reader's own errors come back as they are, io.ErrUnexpectedEOF in the middle of a message.
var (
	ErrMalformed = errors.New("malformed message")
	ErrTooLarge  = errors.New("message too large")
)

// Limits bound a message.
type Limits struct {
	HeadBytes int // bytes of the first line and the fields
	Fields    int
	BodyBytes int // bytes
}

// Field is one header field; its name is in lower case.
type Field struct{ Name, Value string }

// Head is the head of a request or of a response.
type Head struct {
	Method, Target string // of a request
	Status         int    // of a response
	Fields         []Field
	Length         int  // of the body, -1 where it is chunked, none is 0
	NoLength       bool // a response whose body ends with the connection, or a request that tells no length
	Close          bool // the sender closes the connection after the message
}

// Get is a field's value, and how often it stands there.
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

// ReadRequest reads a request's head. io.EOF: there was none.
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
	if err := h.readFields(r, limits, &remaining); err != nil {
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

// ReadResponse reads a response's head, which may be a 1xx answer ahead of it.
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
	if err := h.readFields(r, limits, &remaining); err != nil {
		return nil, err
	}
	if status < 200 || status == 204 || status == 304 {
		h.Length, h.NoLength = 0, false
	}
	return h, nil
}

// read reads the fields and finds how long the body is.
func (h *Head) readFields(r *bufio.Reader, limits Limits, remaining *int) error {
	for {
		line, err := readLine(r, remaining)
		if err != nil {
			return unexpectedEOF(err)
		}
		if line == "" {
			return h.setFraming(limits)
		}
		name, value, found := strings.Cut(line, ":")
		if !found || !isToken(name) { // a folded line begins with a space, which is no token
			return malformed("header line %.80q", line)
		}
		value = strings.Trim(value, " \t")
		for i := range len(value) {
			if value[i] < ' ' && value[i] != '\t' || value[i] == 0x7f {
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
		return malformed("a length given twice")
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

// readLine reads up to a CRLF, which it leaves out.
func readLine(r *bufio.Reader, remaining *int) (string, error) {
	var prefix []byte
	for {
		part, err := r.ReadSlice('\n')
		if *remaining -= len(part); *remaining < 0 {
			return "", fmt.Errorf("%w: its head", ErrTooLarge)
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
			return "", malformed("a line without CR")
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

// number reads digits and nothing else, no more than fit a size that any limit could allow.
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

// bodyAhead is the memory that a body gets before it came, in bytes.
const bodyStepBytes = 8 << 10

// ReadBody reads the body that a head announces. grow is asked before more memory is used, nil for no such question.
func ReadBody(r *bufio.Reader, h *Head, limits Limits, grow func(bytes int) error) ([]byte, error) {
	var body []byte
	readData := func(n int) error {
		if len(body)+n > limits.BodyBytes {
			return fmt.Errorf("%w: its body", ErrTooLarge)
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

// ReadChunk appends the data of one chunk to buf, once all of it has come and fits. io.EOF: it was the last one, and
// the message is whole. No chunk is longer than most.
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

// chunkLine bounds a chunk's first line: its size, and extensions, which mean nothing here.
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
		return 0, fmt.Errorf("%w: a chunk of %d bytes", ErrTooLarge, n)
	}
	return n, nil
}

func readChunkEnd(r *bufio.Reader) error {
	var end [2]byte
	if _, err := io.ReadFull(r, end[:]); err != nil {
		return unexpectedEOF(err)
	}
	if !bytes.Equal(end[:], []byte("\r\n")) {
		return malformed("a chunk that does not fit its size")
	}
	return nil
}

// trailer reads what follows the last chunk.
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
			return malformed("trailer %.80q", line)
		}
	}
}
