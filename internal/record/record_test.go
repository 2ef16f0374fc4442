package record

import (
	"bytes"
	"io"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "cherryhub/proto"
)

func TestRecord(t *testing.T) {
	var buf bytes.Buffer
	w := NewWriter(&buf, io.NopCloser(nil), &pb.Head{Day: proto.String("d")})
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 50 {
				w.Write(&pb.Entry{What: &pb.Entry_Client{Client: &pb.ClientEvent{Detail: proto.String("some text, so that it is not short")}}})
			}
		})
	}
	wg.Wait()
	require.NoError(t, w.Close())
	data := buf.Bytes()
	entries, err := Read(bytes.NewReader(data))
	require.NoError(t, err)
	assert.Len(t, entries, 402)
	for i := 1; i < len(entries); i++ {
		require.GreaterOrEqual(t, entries[i].GetAtS(), entries[i-1].GetAtS())
	}
	for _, size := range []int{0, 1, 30, len(data) / 2, len(data) - 1} {
		_, err := Read(bytes.NewReader(data[:size]))
		assert.Error(t, err, "truncated to %d bytes", size)
	}
	corrupt := bytes.Clone(data)
	corrupt[0] = 0xff
	_, err = Read(bytes.NewReader(corrupt))
	assert.Error(t, err)
	_, err = ReadFile("/nowhere/at/all")
	assert.ErrorContains(t, err, "/nowhere/at/all")
}

func FuzzRead(f *testing.F) {
	var buf bytes.Buffer
	w := NewWriter(&buf, io.NopCloser(nil), &pb.Head{})
	w.Close() //nolint:errcheck // writes to memory
	f.Add(buf.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		if entries, err := Read(bytes.NewReader(data)); err == nil {
			require.NotNil(t, entries[0].GetHead())
			require.NotNil(t, entries[len(entries)-1].GetFoot())
		}
	})
}
