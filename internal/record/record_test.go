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
	whole := buf.Bytes()
	all, err := Read(bytes.NewReader(whole))
	require.NoError(t, err)
	assert.Len(t, all, 402)
	for i := 1; i < len(all); i++ {
		require.GreaterOrEqual(t, all[i].GetAtS(), all[i-1].GetAtS())
	}
	for _, cut := range []int{0, 1, 30, len(whole) / 2, len(whole) - 1} {
		_, err := Read(bytes.NewReader(whole[:cut]))
		assert.Error(t, err, "cut at %d", cut)
	}
	doctored := bytes.Clone(whole)
	doctored[0] = 0xff
	_, err = Read(bytes.NewReader(doctored))
	assert.Error(t, err)
	_, err = ReadFile("/nowhere/at/all")
	assert.ErrorContains(t, err, "/nowhere/at/all")
}

func FuzzRead(f *testing.F) {
	var buf bytes.Buffer
	w := NewWriter(&buf, io.NopCloser(nil), &pb.Head{})
	w.Close() //nolint:errcheck // into memory
	f.Add(buf.Bytes())
	f.Fuzz(func(t *testing.T, text []byte) {
		if all, err := Read(bytes.NewReader(text)); err == nil {
			require.NotNil(t, all[0].GetHead())
			require.NotNil(t, all[len(all)-1].GetFoot())
		}
	})
}
