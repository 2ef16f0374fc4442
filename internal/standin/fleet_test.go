package standin

import (
	"context"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
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
		w := workload{0, &pb.Workload{Effect: pb.Effect_TOKENED.Enum(), RememberedS: proto.Float64(2)}}
		f := &Fleet{dedupSeen: map[string]time.Time{}, maxDedupWindow: 2 * time.Second, sweepSize: 1024}
		e := &Engine{fleet: f, settings: &pb.EngineSet{}}
		for i := range 50000 {
			require.True(t, f.isFirstRun(e, w, strconv.Itoa(i)))
			if i >= 1900 {
				require.False(t, f.isFirstRun(e, w, strconv.Itoa(i-1900)), "it ran 1.9 s ago")
			}
			time.Sleep(time.Millisecond)
			require.LessOrEqual(t, len(f.dedupSeen), 4*2000+1024)
		}
		assert.Greater(t, len(f.dedupSeen), 1900)
	})
}

// entryList is a Recorder in memory.
type entryList struct {
	mu  sync.Mutex
	all []*pb.Entry
}

func (l *entryList) Write(e *pb.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, e)
}

// TestHeldBeforeItEnds forces a release, or a write, to take a place at the moment at which it is granted: the record
// tells first that it was held and then that it ended. A record in the other order reads as a place held for good.
func TestHeldBeforeItEnds(t *testing.T) {
	const places = 3000
	entries := &entryList{}
	f := &Fleet{recorder: entries, routers: map[string]peer{}}
	e := newEngine(f, &pb.EngineSet{Slots: proto.Int32(1 << 20), MemoryTokens: proto.Float64(1e9)}, "e", "c")
	e.up, e.lifetime = true, context.Background()
	for i := range places {
		id := "x" + strconv.Itoa(i) + "-place"
		var both sync.WaitGroup
		both.Go(func() {
			call := httptest.NewRequest("POST", "/v1/kv_places", strings.NewReader(`{"id":"`+id+`","prompt_tokens":1,"lease_ms":60000}`))
			e.serveReservation(httptest.NewRecorder(), call)
		})
		both.Go(func() {
			for !e.release(id, pb.EngineEvent_STATE_TAKEN) { // until it is there
			}
		})
		both.Wait()
	}
	held, ended := map[string]bool{}, 0
	for _, entry := range entries.all {
		switch ev := entry.GetEngine(); ev.GetKind() {
		case pb.EngineEvent_PLACE_HELD:
			held[ev.GetDispatch()] = true
		case pb.EngineEvent_PLACE_TAKEN:
			ended++
			require.True(t, held[ev.GetDispatch()], "%s ended before it was held", ev.GetDispatch())
		}
	}
	assert.Equal(t, places, ended)
}
