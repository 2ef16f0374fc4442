package wire

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestMalformedBatches(t *testing.T) {
	for name, tc := range map[string]struct {
		count     int
		body      []byte
		wantErr   string
		wantReply []byte // first bytes of the reply after its header
	}{
		"record missing":   {1, nil, "code 0: 2 bytes wanted at byte 0", nil},
		"record too long":  {1, []byte{0xfc, 3, 9, 0, 0, 0}, "code 1020: a record of 9 bytes at byte 6", nil},
		"record too short": {1, []byte{0x42, 4, 2, 0, 0, 0, 1, 2}, "code 1090: 4 bytes wanted at byte 6", nil},
		"trailing bytes":   {0, []byte{1}, "code 0: 1 bytes after the last record at byte 0", nil},
		"field left over": {1, []byte{0x42, 4, 5, 0, 0, 0, 1, 0, 0, 0, 9},
			"code 1090: 1 bytes too many at byte 10", nil},
		"count past end":   {1, []byte{0x38, 4, 8, 0, 0, 0, 0, 0, 0, 0, 0, 0, 9, 0}, "code 1080: 9 bytes wanted", nil},
		"unknown code":     {1, []byte{9, 9, 1, 0, 0, 0, 7}, "", nil},
		"unknown instance": {1, []byte{0x42, 4, 4, 0, 0, 0, 1, 2, 0, 0}, "", nil},
		"empty batch":      {0, nil, "", nil},
		"invalid settings": {1, append([]byte{0xe8, 3, 17, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0},
			'['), "", []byte{0x42, 4}},
	} {
		t.Run(name, func(t *testing.T) {
			reply, err := NewHost().HandleBatch(tc.count, 1, tc.body)
			if tc.wantErr != "" {
				assert.ErrorContains(t, err, tc.wantErr)
				assert.Nil(t, reply)
				return
			}
			assert.NoError(t, err)
			assert.Equal(t, tc.wantReply, append([]byte(nil), reply[8:min(len(reply), 10)]...))
		})
	}
}

// FuzzBatch checks that the host answers any batch or reports what is malformed, and never panics.
func FuzzBatch(f *testing.F) {
	f.Add(1, []byte{0x42, 0x04, 4, 0, 0, 0, 3, 0, 0, 0})
	f.Add(2, []byte{0xf2, 0x03, 17, 0, 0, 0, 3, 0, 0, 0, 2, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff})
	f.Add(1, []byte{0xe8, 0x03, 18, 0, 0, 0, 3, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 2, 0, 0, 0, '{', '}'})
	f.Fuzz(func(t *testing.T, count int, body []byte) {
		h := NewHost()
		if reply, err := h.HandleBatch(count&63, 1, body); err == nil && len(reply) < 8 {
			t.Fatalf("a reply of %d bytes", len(reply))
		}
	})
}
