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

// TestDedupMemoryIsBounded: tokened work is remembered for its deduplication window, and removed after it.
func TestDedupMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tokened := workload{0, &pb.Workload{Effect: pb.Effect_TOKENED.Enum(), RememberedS: proto.Float64(2)}}
		fleet := &Fleet{dedupSeen: map[string]time.Time{}, maxDedupWindow: 2 * time.Second, sweepSize: 1024}
		engine := &Engine{fleet: fleet, settings: &pb.EngineSet{}}
		for i := range 50000 {
			require.True(t, fleet.isFirstRun(engine, tokened, strconv.Itoa(i)))
			if i >= 1900 {
				require.False(t, fleet.isFirstRun(engine, tokened, strconv.Itoa(i-1900)), "it ran 1.9 s ago")
			}
			time.Sleep(time.Millisecond)
			require.LessOrEqual(t, len(fleet.dedupSeen), 4*2000+1024)
		}
		assert.Greater(t, len(fleet.dedupSeen), 1900)
	})
}

// memoryRecorder is a Recorder that keeps entries in memory.
type memoryRecorder struct {
	mu      sync.Mutex
	entries []*pb.Entry
}

func (r *memoryRecorder) Write(e *pb.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, e)
}

// TestReservationRecordedBeforeItsEnd ends each reservation at the moment at which it is granted, as a concurrent release or write may:
// the record must have the grant before the end. In the other order it would show a reservation that is never released.
func TestReservationRecordedBeforeItsEnd(t *testing.T) {
	const reservations = 3000
	recorder := &memoryRecorder{}
	f := &Fleet{recorder: recorder, routers: map[string]peer{}}
	e := newEngine(f, &pb.EngineSet{Slots: proto.Int32(1 << 20), MemoryTokens: proto.Float64(1e9)}, "e", "c")
	e.up, e.lifetime = true, context.Background()
	for i := range reservations {
		id := "x" + strconv.Itoa(i) + "-place"
		var wg sync.WaitGroup
		wg.Go(func() {
			request := httptest.NewRequest("POST", "/v1/kv_places", strings.NewReader(`{"id":"`+id+`","prompt_tokens":1,"lease_ms":60000}`))
			e.serveReservation(httptest.NewRecorder(), request)
		})
		wg.Go(func() {
			for !e.release(id, pb.EngineEvent_STATE_TAKEN) { // until the reservation exists
			}
		})
		wg.Wait()
	}
	held, ended := map[string]bool{}, 0
	for _, entry := range recorder.entries {
		switch event := entry.GetEngine(); event.GetKind() {
		case pb.EngineEvent_PLACE_HELD:
			held[event.GetDispatch()] = true
		case pb.EngineEvent_PLACE_TAKEN:
			ended++
			require.True(t, held[event.GetDispatch()], "%s ended before it was held", event.GetDispatch())
		}
	}
	assert.Equal(t, reservations, ended)
}
