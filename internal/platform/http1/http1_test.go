package http1

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var testLimits = Limits{HeadBytes: 512, Fields: 8, BodyBytes: 1024}

// Messages with ambiguous framing are rejected, and bytes after a message are left unread.
func TestRequest(t *testing.T) {
	post := "POST /x HTTP/1.1\r\nHost: a\r\n"
	for name, tc := range map[string]struct {
		text string
		body string
		err  error
	}{
		"length":                 {post + "Content-Length: 3\r\n\r\nabcREST", "abc", nil},
		"chunks":                 {post + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\nT: v\r\n\r\nREST", "abc", nil},
		"no length":              {post + "\r\nREST", "", nil},
		"both lengths":           {post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", "", ErrMalformed},
		"length twice":           {post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", "", ErrMalformed},
		"negative length":        {post + "Content-Length: -3\r\n\r\nabc", "", ErrMalformed},
		"signed length":          {post + "Content-Length: +3\r\n\r\nabc", "", ErrMalformed},
		"list of lengths":        {post + "Content-Length: 3, 3\r\n\r\nabc", "", ErrMalformed},
		"huge length":            {post + "Content-Length: 62914560\r\n\r\n", "", ErrTooLarge},
		"length overflows int":   {post + "Content-Length: 99999999999999999999999\r\n\r\n", "", ErrTooLarge},
		"other encoding":         {post + "Transfer-Encoding: gzip, chunked\r\n\r\n", "", ErrMalformed},
		"space before colon":     {post + "Content-Length : 3\r\n\r\nabc", "", ErrMalformed},
		"folded line":            {post + "A: b\r\n c\r\n\r\n", "", ErrMalformed},
		"bare LF":                {"POST /x HTTP/1.1\nHost: a\n\n", "", ErrMalformed},
		"control character":      {post + "A: b\x01\r\n\r\n", "", ErrMalformed},
		"no host":                {"POST /x HTTP/1.1\r\n\r\n", "", ErrMalformed},
		"two hosts":              {post + "Host: b\r\n\r\n", "", ErrMalformed},
		"older protocol":         {"POST /x HTTP/1.0\r\nHost: a\r\n\r\n", "", ErrMalformed},
		"binary data":            {"\x16\x03\x01\r\n\r\n", "", ErrMalformed},
		"endless head":           {post + strings.Repeat("A: bbbbbbbbbbbbbbbb\r\n", 64), "", ErrTooLarge},
		"endless line":           {"POST /" + strings.Repeat("x", 1024), "", ErrTooLarge},
		"many fields":            {post + strings.Repeat("A: b\r\n", 9) + "\r\n", "", ErrTooLarge},
		"invalid chunk size":     {post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "", ErrMalformed},
		"negative chunk size":    {post + "Transfer-Encoding: chunked\r\n\r\n-1\r\n", "", ErrMalformed},
		"chunk longer than size": {post + "Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n", "", ErrMalformed},
		"chunk of 3 GB":          {post + "Transfer-Encoding: chunked\r\n\r\nc0000000\r\n", "", ErrTooLarge},
		"chunks beyond limit":    {post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("200\r\n"+strings.Repeat("x", 512)+"\r\n", 3), "", ErrTooLarge},
		"truncated body":         {post + "Content-Length: 3\r\n\r\nab", "", io.ErrUnexpectedEOF},
		"truncated head":         {post, "", io.ErrUnexpectedEOF},
		"no input":               {"", "", io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			r := bufio.NewReaderSize(strings.NewReader(tc.text), 64)
			h, err := ReadRequest(r, testLimits)
			var body []byte
			if err == nil {
				body, err = ReadBody(r, h, testLimits, nil)
			}
			if tc.err != nil {
				require.ErrorIs(t, err, tc.err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tc.body, string(body))
			rest, _ := io.ReadAll(r)
			require.Equal(t, "REST", string(rest))
		})
	}
}

// TestResponse reads an engine's answer. A chunk is returned only when it has come in full and matches its size.
func TestResponse(t *testing.T) {
	for name, tc := range map[string]struct {
		text   string
		chunks []string
		err    error
	}{
		"complete":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", []string{"ab", "c"}, io.EOF},
		"no reason":              {"HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", nil, io.EOF},
		"binary data":            {"\x00\x17\r\n\r\n", nil, ErrMalformed},
		"non-numeric status":     {"HTTP/1.1 2xx OK\r\n\r\n", nil, ErrMalformed},
		"protocol switch":        {"HTTP/1.1 101 Switching\r\n\r\n", nil, ErrMalformed},
		"endless head":           {"HTTP/1.1 200 OK\r\n" + strings.Repeat("A: bbbbbbbbbbbbbbbb\r\n", 64), nil, ErrTooLarge},
		"truncated chunk":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n4\r\ncd", []string{"ab"}, io.ErrUnexpectedEOF},
		"chunk longer than size": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n", nil, ErrMalformed},
		"chunk of 3 GB":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc0000000\r\nhhhh", nil, ErrTooLarge},
		"truncated end":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", nil, io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			r := bufio.NewReaderSize(strings.NewReader(tc.text), 64)
			_, err := ReadResponse(r, testLimits)
			var chunks []string
			for err == nil {
				var buf []byte
				if buf, err = ReadChunk(r, nil, testLimits.BodyBytes); err == nil {
					chunks = append(chunks, string(buf))
				}
			}
			require.True(t, errors.Is(err, tc.err), "%v", err)
			require.Equal(t, tc.chunks, chunks)
		})
	}
}
