package standin

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "cherryhub/proto"
)

// TestSeenIsBounded: what a group remembers of tokened work goes when its time is over, and not before.
func TestSeenIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := work{0, &pb.Workload{Effect: pb.Effect_TOKENED.Enum(), RememberedS: proto.Float64(2)}}
		f := &Fleet{seen: map[string]time.Time{}, longest: 2 * time.Second, sweepAt: 1024}
		e := &Engine{fleet: f, set: &pb.EngineSet{}}
		for i := range 50000 {
			require.True(t, f.first(e, w, strconv.Itoa(i)))
			if i >= 1900 {
				require.False(t, f.first(e, w, strconv.Itoa(i-1900)), "it ran 1.9 s ago")
			}
			time.Sleep(time.Millisecond)
			require.LessOrEqual(t, len(f.seen), 4*2000+1024)
		}
		assert.Greater(t, len(f.seen), 1900)
	})
}
