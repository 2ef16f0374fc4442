package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "cherryhub/proto"
)

// chatCall is what an engine reads of a chat call.
type chatRequest struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	Stream        bool `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	TransferParams      *transferParams `json:"kv_transfer_params"`
}

// transfer is vLLM's kv_transfer_params.
type transferParams struct {
	DoRemoteDecode  bool   `json:"do_remote_decode"`
	DoRemotePrefill bool   `json:"do_remote_prefill"`
	RemoteEngineID  string `json:"remote_engine_id,omitempty"`
	RemoteBlockIDs  []int  `json:"remote_block_ids,omitempty"`
	RemoteHost      string `json:"remote_host,omitempty"`
	RemotePort      int    `json:"remote_port,omitempty"`
	RemoteRequestID string `json:"remote_request_id,omitempty"`
}

// job is one dispatch at an engine.
type dispatch struct {
	engine       *Engine
	request      *chatRequest
	workload     workload
	id           string // of the dispatch
	completion   string // of the completion
	key          string
	peer         peer
	prompt       string
	promptTokens float64
	blocks       []uint64
	cachedTokens float64
	answerTokens int
	isRead       bool
}

func (j *dispatch) record(kind pb.EngineEvent_Kind, detail string) {
	role := pb.Role_WRITER
	if j.isRead {
		role = pb.Role_READER
	}
	j.engine.record(&pb.EngineEvent{Kind: kind.Enum(), Completion: proto.String(j.completion), Dispatch: proto.String(j.id), Key: proto.String(j.key),
		Peer: proto.String(j.peer.name), Role: role.Enum(), Workload: proto.Int32(int32(j.workload.index)),
		WorkS: proto.Float64(j.workSeconds()), Detail: proto.String(detail)})
}

// seconds is the job's work, as a part of the warm engine's whole capacity.
func (j *dispatch) workSeconds() float64 {
	s := j.engine.settings
	work := 0.0
	if j.isRead || j.request.TransferParams == nil || !j.request.TransferParams.DoRemotePrefill {
		work = max(0, j.promptTokens-j.cachedTokens) / s.GetReadTokensPerS()
	}
	if !j.isRead {
		work += float64(j.answerTokens) * s.GetTokenMs() / 1000 / float64(s.GetSlots())
	}
	return work
}

func writeError(w http.ResponseWriter, status int, format string, a ...any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(map[string]any{"error": map[string]any{"message": fmt.Sprintf(format, a...), "code": status}}) //nolint:errcheck // the peer left
}

func (e *Engine) peerOf(r *http.Request) peer {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	return e.fleet.peerAt(host)
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	peer := e.peerOf(r)
	body, err := io.ReadAll(io.LimitReader(r.Body, 64<<20))
	if err != nil {
		return
	}
	j := &dispatch{engine: e, request: &chatRequest{}, peer: peer, id: r.Header.Get("X-Request-Id"), key: r.Header.Get("Idempotency-Key")}
	if err := json.Unmarshal(body, j.request); err != nil || len(j.request.Messages) == 0 {
		writeError(w, http.StatusBadRequest, "no chat call: %v", err)
		return
	}
	j.completion = completionID(j.id)
	var known bool
	if j.workload, known = e.fleet.workloads[j.request.Model]; !known {
		writeError(w, http.StatusNotFound, "no model %q", j.request.Model)
		return
	}
	var prompt strings.Builder
	for _, m := range j.request.Messages {
		prompt.WriteString(m.Role)
		prompt.Write(m.Content)
	}
	j.prompt = prompt.String()
	j.promptTokens, j.blocks = float64(len(j.prompt))/4, blockHashes(j.prompt)
	j.cachedTokens = e.countCachedTokens(j.blocks)
	j.isRead = j.request.TransferParams != nil && j.request.TransferParams.DoRemoteDecode
	most := max(1, j.request.MaxTokens, j.request.MaxCompletionTokens)
	j.answerTokens = min(most, 1+int(xxhash.Sum64String(j.prompt)%uint64(2*e.settings.GetMeanAnswerTokens())))
	j.record(pb.EngineEvent_ARRIVED, "") // it is on the socket, whether the engine hears it or not
	outcome := "deaf"
	defer func() { j.record(pb.EngineEvent_ENDED, outcome) }()
	if !e.awaitReachable(r.Context(), peer) {
		panic(http.ErrAbortHandler)
	}
	if outcome = j.admit(w); outcome != "" {
		return
	}
	if j.isRead {
		outcome = j.serveRead(w, r)
	} else {
		outcome = j.serveWrite(w, r)
	}
	if outcome == "broke" || outcome == "lost" {
		panic(http.ErrAbortHandler)
	}
}

// admit turns a job away, or not: "".
func (j *dispatch) admit(w http.ResponseWriter) string {
	e := j.engine
	e.mu.Lock()
	ills, draining, started := e.faults, e.draining, e.started
	e.mu.Unlock()
	told := started.IsZero() || e.fleet.List.knowsStart(j.peer.name, e.name, started)
	switch {
	case e.addColdWork(j.workSeconds(), told):
		go e.stopServing()
		return "fell"
	case ills.failureShare > 0 && e.fleet.randomShare() < ills.failureShare, ills.failingWorkload == j.workload.index:
		writeError(w, http.StatusInternalServerError, "engine trouble")
		return "failed"
	case draining:
		writeError(w, http.StatusTooManyRequests, "draining")
		return "draining"
	}
	return ""
}

// report is the ORCA header.
func (e *Engine) loadReport() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("TEXT named_metrics.kv_cache_usage_perc=%.4f, named_metrics.num_requests_waiting=%d, "+
		"named_metrics.slots_used=%.4f, named_metrics.thousand_tokens_waiting=%.4f", e.usedTokens/e.settings.GetMemoryTokens(), len(e.waiting),
		float64(e.running)/float64(e.settings.GetSlots()), e.unreadTokens/1000)
}

func (j *dispatch) serveRead(w http.ResponseWriter, r *http.Request) string {
	e, ctx := j.engine, r.Context()
	if err := e.acquireSlot(ctx); err != nil {
		return j.refuse(w, err)
	}
	defer e.releaseSlot()
	if !e.allocate(j.promptTokens) {
		return j.refuse(w, errFull)
	}
	if err := e.prefill(ctx, max(0, j.promptTokens-j.cachedTokens)); err != nil || !e.awaitReachable(ctx, j.peer) {
		e.free(j.promptTokens)
		return "left"
	}
	if j.losesAnswer() {
		e.free(j.promptTokens)
		j.waitForEnd(ctx)
		return "lost"
	}
	e.cachePrefix(j.blocks)
	e.holdState(j.id, j.completion, j.promptTokens)
	host, port, _ := net.SplitHostPort(e.address)
	n, _ := strconv.Atoi(port)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Endpoint-Load-Metrics", e.loadReport())
	json.NewEncoder(w).Encode(map[string]any{ //nolint:errcheck // the peer left
		"id": "chatcmpl-" + j.id, "object": "chat.completion", "created": time.Now().Unix(), "model": j.request.Model,
		"choices": []any{map[string]any{"index": 0, "finish_reason": "length", "message": map[string]any{"role": "assistant", "content": "a"}}},
		"usage":   j.usage(1),
		"kv_transfer_params": transferParams{DoRemotePrefill: true, RemoteEngineID: e.name, RemoteBlockIDs: []int{1, 2}, RemoteHost: host,
			RemotePort: n, RemoteRequestID: j.id},
	})
	return "done"
}

func (j *dispatch) usage(answer int) map[string]any {
	return map[string]any{"prompt_tokens": int(j.promptTokens), "completion_tokens": answer, "total_tokens": int(j.promptTokens) + answer,
		"prompt_tokens_details": map[string]any{"cached_tokens": int(j.cachedTokens)}}
}

func (j *dispatch) refuse(w http.ResponseWriter, err error) string {
	if errors.Is(err, errFull) {
		writeError(w, http.StatusTooManyRequests, "full")
		return "full"
	}
	return "left"
}

func (j *dispatch) losesAnswer() bool {
	j.engine.mu.Lock()
	share := j.engine.faults.lostShare
	j.engine.mu.Unlock()
	return share > 0 && j.engine.fleet.randomShare() < share
}

func (j *dispatch) waitForEnd(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-j.engine.lifetimeContext().Done():
	}
}

// fetch brings the state from its reader. A reader that is cut off, deaf or gone has none to give.
func (j *dispatch) fetchState(ctx context.Context) (found bool, err error) {
	t := j.request.TransferParams
	from := j.engine.fleet.engineAt(net.JoinHostPort(t.RemoteHost, strconv.Itoa(t.RemotePort)))
	if from == nil || !from.isUp() {
		return false, nil
	}
	if !from.awaitReachable(ctx, peer{zone: j.engine.settings.GetZone()}) {
		return false, ctx.Err()
	}
	s := from.heldState(t.RemoteRequestID)
	if s == nil {
		return false, nil
	}
	if err := j.engine.sleep(ctx, j.engine.fleet.transferTime(from, j.engine, s.tokens)); err != nil {
		return false, err
	}
	return from.release(t.RemoteRequestID, pb.EngineEvent_STATE_TAKEN), nil
}

func (e *Engine) isUp() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.up
}

func (j *dispatch) serveWrite(w http.ResponseWriter, r *http.Request) string {
	e, ctx := j.engine, r.Context()
	if e.settings.GetRole() == pb.Role_READER {
		writeError(w, http.StatusBadRequest, "a reader writes nothing")
		return "refused"
	}
	e.release(j.completion+"-place", pb.EngineEvent_STATE_TAKEN) // its memory is taken anew below
	if err := e.acquireSlot(ctx); err != nil {
		return j.refuse(w, err)
	}
	defer e.releaseSlot()
	need := j.promptTokens + float64(j.answerTokens)
	if !e.allocate(need) {
		return j.refuse(w, errFull)
	}
	defer e.free(need)
	if t := j.request.TransferParams; t != nil && t.DoRemotePrefill {
		found, err := j.fetchState(ctx)
		if err != nil {
			return "left"
		}
		if !found {
			writeError(w, http.StatusFailedDependency, "no state %q", t.RemoteRequestID)
			return "stateless"
		}
	} else if err := e.prefill(ctx, max(0, j.promptTokens-j.cachedTokens)); err != nil {
		return "left"
	}
	e.cachePrefix(j.blocks)
	if e.fleet.isFirstRun(e, j.workload, j.key) {
		j.record(pb.EngineEvent_RAN, "")
	} else {
		j.record(pb.EngineEvent_REPEAT, "")
	}
	if j.losesAnswer() {
		j.waitForEnd(ctx)
		return "lost"
	}
	return j.streamAnswer(ctx, w)
}

// stream writes the answer, a token at a time.
func (j *dispatch) streamAnswer(ctx context.Context, w http.ResponseWriter) string {
	e := j.engine
	breakAt := -1
	e.mu.Lock()
	breaks := e.faults.brokenShare
	e.mu.Unlock()
	if breaks > 0 && e.fleet.randomShare() < breaks {
		breakAt = int(e.fleet.randomShare() * float64(j.answerTokens))
	}
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Endpoint-Load-Metrics", e.loadReport())
	h.Set("Trailer", "Endpoint-Load-Metrics")
	out := http.NewResponseController(w)
	head := fmt.Sprintf(`{"id":"chatcmpl-%s","object":"chat.completion.chunk","created":%d,"model":%q,"choices":[{"index":0,`, j.id, time.Now().Unix(), j.request.Model)
	send := func(format string, a ...any) error {
		if !e.awaitReachable(ctx, j.peer) {
			return errDown
		}
		if _, err := fmt.Fprintf(w, "data: "+format+"\n\n", a...); err != nil {
			return err
		}
		return out.Flush()
	}
	for n := range j.answerTokens {
		if n == breakAt {
			return "broke"
		}
		if n > 0 {
			e.mu.Lock()
			gap := e.settings.GetTokenMs() * e.faults.slowdown * (1 + float64(e.running)/float64(e.settings.GetSlots())) / 1.5
			e.mu.Unlock()
			if err := e.sleep(ctx, time.Duration(gap*float64(time.Millisecond))); err != nil {
				return "left"
			}
		} else if err := send(`%s"delta":{"role":"assistant","content":""},"finish_reason":null}]}`, head); err != nil {
			return "left"
		}
		if err := send(`%s"delta":{"content":"tok%d "},"finish_reason":null}]}`, head, n); err != nil {
			return "left"
		}
	}
	last := fmt.Sprintf(`%s"delta":{},"finish_reason":"stop"}]}`, head)
	if j.request.StreamOptions.IncludeUsage {
		usage, err := json.Marshal(j.usage(j.answerTokens))
		if err != nil {
			return "broke"
		}
		last += fmt.Sprintf("\n\ndata: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\",\"created\":%d,\"model\":%q,\"choices\":[],\"usage\":%s}",
			j.id, time.Now().Unix(), j.request.Model, usage)
	}
	if err := send("%s", last+"\n\ndata: [DONE]"); err != nil {
		return "left"
	}
	w.Header().Set("Endpoint-Load-Metrics", e.loadReport())
	return "done"
}

func (e *Engine) serveRelease(w http.ResponseWriter, r *http.Request) {
	if !e.awaitReachable(r.Context(), e.peerOf(r)) {
		panic(http.ErrAbortHandler)
	}
	if !e.release(r.PathValue("id"), pb.EngineEvent_STATE_RELEASED) {
		w.WriteHeader(http.StatusNotFound)
	}
}

func (e *Engine) serveReservation(w http.ResponseWriter, r *http.Request) {
	if !e.awaitReachable(r.Context(), e.peerOf(r)) {
		panic(http.ErrAbortHandler)
	}
	var call struct {
		ID     string  `json:"id"`
		Tokens float64 `json:"prompt_tokens"`
		Lease  int     `json:"lease_ms"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&call); err != nil {
		writeError(w, http.StatusBadRequest, "no place call: %v", err)
		return
	}
	e.mu.Lock()
	free := e.running < int(e.settings.GetSlots()) && len(e.waiting) == 0 && !e.draining
	e.mu.Unlock()
	held := free && e.allocate(call.Tokens)
	if held {
		e.mu.Lock()
		e.reservations[call.ID] = call.Tokens
		// Recorded under the lock, as drop does: a write that takes the place at once is recorded after it.
		e.record(&pb.EngineEvent{Kind: pb.EngineEvent_PLACE_HELD.Enum(), Dispatch: proto.String(call.ID), Completion: proto.String(completionID(call.ID))})
		e.mu.Unlock()
		time.AfterFunc(time.Duration(call.Lease)*time.Millisecond, func() { e.release(call.ID, pb.EngineEvent_STATE_RELEASED) })
	}
	json.NewEncoder(w).Encode(map[string]bool{"held": held}) //nolint:errcheck // the peer left
}

func (e *Engine) serveMetrics(w http.ResponseWriter, r *http.Request) {
	peer := e.peerOf(r)
	if !e.awaitReachable(r.Context(), peer) {
		panic(http.ErrAbortHandler)
	}
	e.record(&pb.EngineEvent{Kind: pb.EngineEvent_PROBED.Enum(), Peer: proto.String(peer.name)})
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	fmt.Fprintf(w, "# TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting %d\n# TYPE vllm:num_requests_running gauge\n"+
		"vllm:num_requests_running %d\n# TYPE vllm:kv_cache_usage_perc gauge\nvllm:kv_cache_usage_perc %.4f\n"+
		"# TYPE standin:slots_used gauge\nstandin:slots_used %.4f\n# TYPE standin:thousand_tokens_waiting gauge\nstandin:thousand_tokens_waiting %.4f\n",
		len(e.waiting), e.running, e.usedTokens/e.settings.GetMemoryTokens(), float64(e.running)/float64(e.settings.GetSlots()), e.unreadTokens/1000)
}
