package crowd

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCheckResponse(t *testing.T) {
	const refusal = "HTTP/1.1 429 Too Many Requests\r\nContent-Type: application/json\r\nContent-Length: 65\r\nConnection: close\r\nRetry-After: 1\r\n\r\n" +
		`{"error":{"message":"m","type":"requests","param":null,"code":"c"}}`
	wellFormed := strings.Replace(refusal, "65", "67", 1)
	const stream = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\ne\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"
	for text, want := range map[string]string{
		wellFormed:                     "",
		stream:                         "",
		"HTTP/1.1 429 Too":             "incomplete header",
		wellFormed[:len(wellFormed)-3]: "incomplete body",
		wellFormed + "x":               "data after the answer",
		strings.Replace(wellFormed, "Retry-After: 1\r\n", "", 1):                 "no Retry-After",
		strings.Replace(wellFormed, "Connection: close\r\n", "", 1):              "no Connection: close",
		strings.Replace(wellFormed, `"message":"m"`, `"message":""`, 1):          "incomplete body",
		strings.Replace(wellFormed, `"type":"requests"`, `"kind":"requests"`, 1): "not OpenAI's error format",
		strings.Replace(stream, "[DONE]", "[DONT]", 1):                           "no [DONE]",
		strings.TrimSuffix(stream, "0\r\n\r\n"):                                  "incomplete body",
	} {
		_, fault := CheckResponse([]byte(text))
		assert.Equal(t, want, fault, "%q", text)
	}
}
