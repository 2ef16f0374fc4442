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

// TestRequest: what two readers could frame in two ways is refused, and what follows a message stays.
func TestRequest(t *testing.T) {
	post := "POST /x HTTP/1.1\r\nHost: a\r\n"
	for name, test := range map[string]struct {
		text string
		body string
		err  error
	}{
		"length":               {post + "Content-Length: 3\r\n\r\nabcREST", "abc", nil},
		"chunks":               {post + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\nT: v\r\n\r\nREST", "abc", nil},
		"no length":            {post + "\r\nREST", "", nil},
		"both lengths":         {post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", "", ErrMalformed},
		"length twice":         {post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", "", ErrMalformed},
		"negative length":      {post + "Content-Length: -3\r\n\r\nabc", "", ErrMalformed},
		"signed length":        {post + "Content-Length: +3\r\n\r\nabc", "", ErrMalformed},
		"list of lengths":      {post + "Content-Length: 3, 3\r\n\r\nabc", "", ErrMalformed},
		"huge length":          {post + "Content-Length: 62914560\r\n\r\n", "", ErrTooLarge},
		"length past all ints": {post + "Content-Length: 99999999999999999999999\r\n\r\n", "", ErrTooLarge},
		"other encoding":       {post + "Transfer-Encoding: gzip, chunked\r\n\r\n", "", ErrMalformed},
		"space before colon":   {post + "Content-Length : 3\r\n\r\nabc", "", ErrMalformed},
		"folded line":          {post + "A: b\r\n c\r\n\r\n", "", ErrMalformed},
		"bare LF":              {"POST /x HTTP/1.1\nHost: a\n\n", "", ErrMalformed},
		"control in a value":   {post + "A: b\x01\r\n\r\n", "", ErrMalformed},
		"no host":              {"POST /x HTTP/1.1\r\n\r\n", "", ErrMalformed},
		"two hosts":            {post + "Host: b\r\n\r\n", "", ErrMalformed},
		"older protocol":       {"POST /x HTTP/1.0\r\nHost: a\r\n\r\n", "", ErrMalformed},
		"noise":                {"\x16\x03\x01\r\n\r\n", "", ErrMalformed},
		"head without end":     {post + strings.Repeat("A: bbbbbbbbbbbbbbbb\r\n", 64), "", ErrTooLarge},
		"line without end":     {"POST /" + strings.Repeat("x", 1024), "", ErrTooLarge},
		"many fields":          {post + strings.Repeat("A: b\r\n", 9) + "\r\n", "", ErrTooLarge},
		"chunk size unread":    {post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "", ErrMalformed},
		"chunk size negative":  {post + "Transfer-Encoding: chunked\r\n\r\n-1\r\n", "", ErrMalformed},
		"chunk does not fit":   {post + "Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n", "", ErrMalformed},
		"chunk of 3 GB":        {post + "Transfer-Encoding: chunked\r\n\r\nc0000000\r\n", "", ErrTooLarge},
		"chunks past the most": {post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("200\r\n"+strings.Repeat("x", 512)+"\r\n", 3), "", ErrTooLarge},
		"half a body":          {post + "Content-Length: 3\r\n\r\nab", "", io.ErrUnexpectedEOF},
		"half a head":          {post, "", io.ErrUnexpectedEOF},
		"nothing":              {"", "", io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			r := bufio.NewReaderSize(strings.NewReader(test.text), 64)
			h, err := ReadRequest(r, testLimits)
			var body []byte
			if err == nil {
				body, err = ReadBody(r, h, testLimits, nil)
			}
			if test.err != nil {
				require.ErrorIs(t, err, test.err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, test.body, string(body))
			rest, _ := io.ReadAll(r)
			require.Equal(t, "REST", string(rest))
		})
	}
}

// TestResponse: an engine's answer, and chunks that are handed on only once they came whole and fit.
func TestResponse(t *testing.T) {
	for name, test := range map[string]struct {
		text   string
		chunks []string
		err    error
	}{
		"whole":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", []string{"ab", "c"}, io.EOF},
		"no reason":           {"HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", nil, io.EOF},
		"noise":               {"\x00\x17\r\n\r\n", nil, ErrMalformed},
		"status of letters":   {"HTTP/1.1 2xx OK\r\n\r\n", nil, ErrMalformed},
		"switch of protocols": {"HTTP/1.1 101 Switching\r\n\r\n", nil, ErrMalformed},
		"head without end":    {"HTTP/1.1 200 OK\r\n" + strings.Repeat("A: bbbbbbbbbbbbbbbb\r\n", 64), nil, ErrTooLarge},
		"a chunk cut off":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n4\r\ncd", []string{"ab"}, io.ErrUnexpectedEOF},
		"a chunk too long":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n", nil, ErrMalformed},
		"a chunk of 3 GB":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc0000000\r\nhhhh", nil, ErrTooLarge},
		"end cut off":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", nil, io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			r := bufio.NewReaderSize(strings.NewReader(test.text), 64)
			_, err := ReadResponse(r, testLimits)
			var chunks []string
			for err == nil {
				var buf []byte
				if buf, err = ReadChunk(r, nil, testLimits.BodyBytes); err == nil {
					chunks = append(chunks, string(buf))
				}
			}
			require.True(t, errors.Is(err, test.err), "%v", err)
			require.Equal(t, test.chunks, chunks)
		})
	}
}
