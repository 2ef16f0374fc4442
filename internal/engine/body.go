package engine

import (
	"strconv"
	"unsafe"
)

// UnsafeString returns b as a string without copying it. b must not change while the string or a part of it is in use.
func UnsafeString(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }

// Field is one top-level field of a chat call's body.
type Field struct {
	Name       string
	QuotedName []byte // the name, quoted as in the body
	Value      []byte // raw JSON
}

// remoteDecodeParams are the kv_transfer_params of a read, as vLLM's nixl connector expects them.
const remoteDecodeParams = `{"do_remote_decode":true,"do_remote_prefill":false,"remote_engine_id":null,` +
	`"remote_block_ids":null,"remote_host":null,"remote_port":null}`

// ReadBody returns the body of a read: the client's request, limited to one token and not streamed.
func ReadBody(fields []Field) []byte {
	b := beginBody(fields, func(name string) bool {
		switch name {
		case "max_tokens", "max_completion_tokens", "stream", "stream_options", "kv_transfer_params":
			return false
		}
		return true
	})
	return append(b, `"max_tokens":1,"max_completion_tokens":1,"stream":false,"kv_transfer_params":`+remoteDecodeParams+`}`...)
}

// WriteBody returns the body of a write, which streams and reports its usage. state is the kv_transfer_params that the read
// returned, nil for none. defaultMaxTokens limits the output where the client gave no limit.
func WriteBody(fields []Field, state []byte, defaultMaxTokens int) []byte {
	hasMaxTokens := false
	b := beginBody(fields, func(name string) bool {
		switch name {
		case "stream", "stream_options", "kv_transfer_params":
			return false
		case "max_tokens", "max_completion_tokens":
			hasMaxTokens = true
		}
		return true
	})
	if !hasMaxTokens {
		b = strconv.AppendInt(append(b, `"max_tokens":`...), int64(defaultMaxTokens), 10)
		b = append(b, ',')
	}
	if state != nil {
		b = append(append(append(b, `"kv_transfer_params":`...), state...), ',')
	}
	return append(b, `"stream":true,"stream_options":{"include_usage":true}}`...)
}

func beginBody(fields []Field, keep func(name string) bool) []byte {
	size := 256
	for _, f := range fields {
		size += len(f.QuotedName) + len(f.Value) + 2
	}
	b := append(make([]byte, 0, size), '{')
	for _, f := range fields {
		if keep(f.Name) {
			b = append(append(append(append(b, f.QuotedName...), ':'), f.Value...), ',')
		}
	}
	return b
}
