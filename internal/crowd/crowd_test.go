package crowd

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestJudge(t *testing.T) {
	const refusal = "HTTP/1.1 429 Too Many Requests\r\nContent-Type: application/json\r\nContent-Length: 65\r\nConnection: close\r\nRetry-After: 1\r\n\r\n" +
		`{"error":{"message":"m","type":"requests","param":null,"code":"c"}}`
	good := strings.Replace(refusal, "65", "67", 1)
	const stream = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\ne\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"
	for text, want := range map[string]string{
		good:               "",
		stream:             "",
		"HTTP/1.1 429 Too": "no whole header",
		good[:len(good)-3]: "no whole body",
		good + "x":         "more after the answer",
		strings.Replace(good, "Retry-After: 1\r\n", "", 1):                 "no Retry-After",
		strings.Replace(good, "Connection: close\r\n", "", 1):              "no Connection: close",
		strings.Replace(good, `"message":"m"`, `"message":""`, 1):          "no whole body",
		strings.Replace(good, `"type":"requests"`, `"kind":"requests"`, 1): "not OpenAI's error shape",
		strings.Replace(stream, "[DONE]", "[DONT]", 1):                     "no [DONE]",
		strings.TrimSuffix(stream, "0\r\n\r\n"):                            "no whole body",
	} {
		_, wrong := CheckResponse([]byte(text))
		assert.Equal(t, want, wrong, "%q", text)
	}
}
