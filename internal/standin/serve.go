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

// chatRequest holds the fields of a chat completion request that an engine uses.
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

// transferParams is vLLM's kv_transfer_params.
type transferParams struct {
	DoRemoteDecode  bool   `json:"do_remote_decode"`
	DoRemotePrefill bool   `json:"do_remote_prefill"`
	RemoteEngineID  string `json:"remote_engine_id,omitempty"`
	RemoteBlockIDs  []int  `json:"remote_block_ids,omitempty"`
	RemoteHost      string `json:"remote_host,omitempty"`
	RemotePort      int    `json:"remote_port,omitempty"`
	RemoteRequestID string `json:"remote_request_id,omitempty"`
}

// dispatch is one dispatch at an engine.
type dispatch struct {
	engine         *Engine
	request        *chatRequest
	workload       workload
	id             string
	completion     string // ID of the completion
	idempotencyKey string
	peer           peer
	prompt         string
	promptTokens   float64
	blocks         []uint64 // hashes of the prompt's blocks
	cachedTokens   float64
	answerTokens   int
	isRead         bool
}

func (d *dispatch) record(kind pb.EngineEvent_Kind, detail string) {
	role := pb.Role_WRITER
	if d.isRead {
		role = pb.Role_READER
	}
	d.engine.record(&pb.EngineEvent{Kind: kind.Enum(), Completion: proto.String(d.completion), Dispatch: proto.String(d.id), Key: proto.String(d.idempotencyKey),
		Peer: proto.String(d.peer.name), Role: role.Enum(), Workload: proto.Int32(int32(d.workload.index)),
		WorkS: proto.Float64(d.workSeconds()), Detail: proto.String(detail)})
}

// workSeconds returns the work of the dispatch, in seconds of the warm engine's full capacity.
func (d *dispatch) workSeconds() float64 {
	settings := d.engine.settings
	work := 0.0
	if d.isRead || d.request.TransferParams == nil || !d.request.TransferParams.DoRemotePrefill {
		work = max(0, d.promptTokens-d.cachedTokens) / settings.GetReadTokensPerS()
	}
	if !d.isRead {
		work += float64(d.answerTokens) * settings.GetTokenMs() / 1000 / float64(settings.GetSlots())
	}
	return work
}

func writeError(w http.ResponseWriter, status int, format string, args ...any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(map[string]any{"error": map[string]any{"message": fmt.Sprintf(format, args...), "code": status}}) //nolint:errcheck // the peer left
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
	d := &dispatch{engine: e, request: &chatRequest{}, peer: peer, id: r.Header.Get("X-Request-Id"), idempotencyKey: r.Header.Get("Idempotency-Key")}
	if err := json.Unmarshal(body, d.request); err != nil || len(d.request.Messages) == 0 {
		writeError(w, http.StatusBadRequest, "no chat call: %v", err)
		return
	}
	d.completion = completionID(d.id)
	var found bool
	if d.workload, found = e.fleet.workloads[d.request.Model]; !found {
		writeError(w, http.StatusNotFound, "no model %q", d.request.Model)
		return
	}
	var prompt strings.Builder
	for _, m := range d.request.Messages {
		prompt.WriteString(m.Role)
		prompt.Write(m.Content)
	}
	d.prompt = prompt.String()
	d.promptTokens, d.blocks = float64(len(d.prompt))/4, blockHashes(d.prompt)
	d.cachedTokens = e.countCachedTokens(d.blocks)
	d.isRead = d.request.TransferParams != nil && d.request.TransferParams.DoRemoteDecode
	maxTokens := max(1, d.request.MaxTokens, d.request.MaxCompletionTokens)
	d.answerTokens = min(maxTokens, 1+int(xxhash.Sum64String(d.prompt)%uint64(2*e.settings.GetMeanAnswerTokens())))
	d.record(pb.EngineEvent_ARRIVED, "") // it has arrived on the socket, whether the engine handles it or not
	outcome := "deaf"
	defer func() { d.record(pb.EngineEvent_ENDED, outcome) }()
	if !e.awaitReachable(r.Context(), peer) {
		panic(http.ErrAbortHandler)
	}
	if outcome = d.admit(w); outcome != "" {
		return
	}
	if d.isRead {
		outcome = d.serveRead(w, r)
	} else {
		outcome = d.serveWrite(w, r)
	}
	if outcome == "broke" || outcome == "lost" {
		panic(http.ErrAbortHandler)
	}
}

// admit rejects the dispatch and returns its outcome, or returns "" if it is accepted.
func (d *dispatch) admit(w http.ResponseWriter) string {
	e := d.engine
	e.mu.Lock()
	faults, draining, started := e.faults, e.draining, e.started
	e.mu.Unlock()
	knewStart := started.IsZero() || e.fleet.List.knowsStart(d.peer.name, e.name, started)
	switch {
	case e.addColdWork(d.workSeconds(), knewStart):
		go e.stopServing()
		return "fell"
	case faults.failureShare > 0 && e.fleet.randomShare() < faults.failureShare, faults.failingWorkload == d.workload.index:
		writeError(w, http.StatusInternalServerError, "engine trouble")
		return "failed"
	case draining:
		writeError(w, http.StatusTooManyRequests, "draining")
		return "draining"
	}
	return ""
}

// loadReport returns the value of the ORCA header.
func (e *Engine) loadReport() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("TEXT named_metrics.kv_cache_usage_perc=%.4f, named_metrics.num_requests_waiting=%d, "+
		"named_metrics.slots_used=%.4f, named_metrics.thousand_tokens_waiting=%.4f", e.usedTokens/e.settings.GetMemoryTokens(), len(e.waiting),
		float64(e.running)/float64(e.settings.GetSlots()), e.unreadTokens/1000)
}

// serveRead runs a read, holds its state, and returns the outcome for the record.
func (d *dispatch) serveRead(w http.ResponseWriter, r *http.Request) string {
	e, ctx := d.engine, r.Context()
	if err := e.acquireSlot(ctx); err != nil {
		return d.refuse(w, err)
	}
	defer e.releaseSlot()
	if !e.allocate(d.promptTokens) {
		return d.refuse(w, errFull)
	}
	if err := e.prefill(ctx, max(0, d.promptTokens-d.cachedTokens)); err != nil || !e.awaitReachable(ctx, d.peer) {
		e.free(d.promptTokens)
		return "left"
	}
	if d.losesAnswer() {
		e.free(d.promptTokens)
		d.waitForEnd(ctx)
		return "lost"
	}
	e.cachePrefix(d.blocks)
	e.holdState(d.id, d.completion, d.promptTokens)
	host, port, _ := net.SplitHostPort(e.address)
	portNumber, _ := strconv.Atoi(port)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Endpoint-Load-Metrics", e.loadReport())
	json.NewEncoder(w).Encode(map[string]any{ //nolint:errcheck // the peer left
		"id": "chatcmpl-" + d.id, "object": "chat.completion", "created": time.Now().Unix(), "model": d.request.Model,
		"choices": []any{map[string]any{"index": 0, "finish_reason": "length", "message": map[string]any{"role": "assistant", "content": "a"}}},
		"usage":   d.usage(1),
		"kv_transfer_params": transferParams{DoRemotePrefill: true, RemoteEngineID: e.name, RemoteBlockIDs: []int{1, 2}, RemoteHost: host,
			RemotePort: portNumber, RemoteRequestID: d.id},
	})
	return "done"
}

func (d *dispatch) usage(answerTokens int) map[string]any {
	return map[string]any{"prompt_tokens": int(d.promptTokens), "completion_tokens": answerTokens, "total_tokens": int(d.promptTokens) + answerTokens,
		"prompt_tokens_details": map[string]any{"cached_tokens": int(d.cachedTokens)}}
}

func (d *dispatch) refuse(w http.ResponseWriter, err error) string {
	if errors.Is(err, errFull) {
		writeError(w, http.StatusTooManyRequests, "full")
		return "full"
	}
	return "left"
}

// losesAnswer decides at random whether the answer is never sent.
func (d *dispatch) losesAnswer() bool {
	d.engine.mu.Lock()
	share := d.engine.faults.lostShare
	d.engine.mu.Unlock()
	return share > 0 && d.engine.fleet.randomShare() < share
}

// waitForEnd waits until the peer leaves or the engine goes down.
func (d *dispatch) waitForEnd(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-d.engine.lifetimeContext().Done():
	}
}

// fetchState transfers the state from its reader. None is found at a reader that is isolated, unresponsive or down.
func (d *dispatch) fetchState(ctx context.Context) (found bool, err error) {
	params := d.request.TransferParams
	from := d.engine.fleet.engineAt(net.JoinHostPort(params.RemoteHost, strconv.Itoa(params.RemotePort)))
	if from == nil || !from.isUp() {
		return false, nil
	}
	if !from.awaitReachable(ctx, peer{zone: d.engine.settings.GetZone()}) {
		return false, ctx.Err()
	}
	held := from.heldState(params.RemoteRequestID)
	if held == nil {
		return false, nil
	}
	if err := d.engine.sleep(ctx, d.engine.fleet.transferTime(from, d.engine, held.tokens)); err != nil {
		return false, err
	}
	return from.release(params.RemoteRequestID, pb.EngineEvent_STATE_TAKEN), nil
}

func (e *Engine) isUp() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.up
}

// serveWrite runs a write and returns the outcome for the record.
func (d *dispatch) serveWrite(w http.ResponseWriter, r *http.Request) string {
	e, ctx := d.engine, r.Context()
	if e.settings.GetRole() == pb.Role_READER {
		writeError(w, http.StatusBadRequest, "a reader writes nothing")
		return "refused"
	}
	e.release(d.completion+"-place", pb.EngineEvent_STATE_TAKEN) // its memory is allocated again below
	if err := e.acquireSlot(ctx); err != nil {
		return d.refuse(w, err)
	}
	defer e.releaseSlot()
	tokens := d.promptTokens + float64(d.answerTokens)
	if !e.allocate(tokens) {
		return d.refuse(w, errFull)
	}
	defer e.free(tokens)
	if params := d.request.TransferParams; params != nil && params.DoRemotePrefill {
		found, err := d.fetchState(ctx)
		if err != nil {
			return "left"
		}
		if !found {
			writeError(w, http.StatusFailedDependency, "no state %q", params.RemoteRequestID)
			return "stateless"
		}
	} else if err := e.prefill(ctx, max(0, d.promptTokens-d.cachedTokens)); err != nil {
		return "left"
	}
	e.cachePrefix(d.blocks)
	if e.fleet.isFirstRun(e, d.workload, d.idempotencyKey) {
		d.record(pb.EngineEvent_RAN, "")
	} else {
		d.record(pb.EngineEvent_REPEAT, "")
	}
	if d.losesAnswer() {
		d.waitForEnd(ctx)
		return "lost"
	}
	return d.streamAnswer(ctx, w)
}

// streamAnswer streams the answer, one token at a time, and returns the outcome for the record.
func (d *dispatch) streamAnswer(ctx context.Context, w http.ResponseWriter) string {
	e := d.engine
	breakAtToken := -1
	e.mu.Lock()
	brokenShare := e.faults.brokenShare
	e.mu.Unlock()
	if brokenShare > 0 && e.fleet.randomShare() < brokenShare {
		breakAtToken = int(e.fleet.randomShare() * float64(d.answerTokens))
	}
	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Endpoint-Load-Metrics", e.loadReport())
	header.Set("Trailer", "Endpoint-Load-Metrics")
	controller := http.NewResponseController(w)
	prefix := fmt.Sprintf(`{"id":"chatcmpl-%s","object":"chat.completion.chunk","created":%d,"model":%q,"choices":[{"index":0,`, d.id, time.Now().Unix(), d.request.Model)
	send := func(format string, args ...any) error {
		if !e.awaitReachable(ctx, d.peer) {
			return errDown
		}
		if _, err := fmt.Fprintf(w, "data: "+format+"\n\n", args...); err != nil {
			return err
		}
		return controller.Flush()
	}
	for n := range d.answerTokens {
		if n == breakAtToken {
			return "broke"
		}
		if n > 0 {
			e.mu.Lock()
			gapMS := e.settings.GetTokenMs() * e.faults.slowdown * (1 + float64(e.running)/float64(e.settings.GetSlots())) / 1.5
			e.mu.Unlock()
			if err := e.sleep(ctx, time.Duration(gapMS*float64(time.Millisecond))); err != nil {
				return "left"
			}
		} else if err := send(`%s"delta":{"role":"assistant","content":""},"finish_reason":null}]}`, prefix); err != nil {
			return "left"
		}
		if err := send(`%s"delta":{"content":"tok%d "},"finish_reason":null}]}`, prefix, n); err != nil {
			return "left"
		}
	}
	final := fmt.Sprintf(`%s"delta":{},"finish_reason":"stop"}]}`, prefix)
	if d.request.StreamOptions.IncludeUsage {
		usage, err := json.Marshal(d.usage(d.answerTokens))
		if err != nil {
			return "broke"
		}
		final += fmt.Sprintf("\n\ndata: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\",\"created\":%d,\"model\":%q,\"choices\":[],\"usage\":%s}",
			d.id, time.Now().Unix(), d.request.Model, usage)
	}
	if err := send("%s", final+"\n\ndata: [DONE]"); err != nil {
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
	var request struct {
		ID           string  `json:"id"`
		PromptTokens float64 `json:"prompt_tokens"`
		LeaseMS      int     `json:"lease_ms"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&request); err != nil {
		writeError(w, http.StatusBadRequest, "no place call: %v", err)
		return
	}
	e.mu.Lock()
	slotFree := e.running < int(e.settings.GetSlots()) && len(e.waiting) == 0 && !e.draining
	e.mu.Unlock()
	reserved := slotFree && e.allocate(request.PromptTokens)
	if reserved {
		e.mu.Lock()
		e.reservations[request.ID] = request.PromptTokens
		// Recorded under the lock, as in release: a write that uses the reservation at once is recorded after it.
		e.record(&pb.EngineEvent{Kind: pb.EngineEvent_PLACE_HELD.Enum(), Dispatch: proto.String(request.ID), Completion: proto.String(completionID(request.ID))})
		e.mu.Unlock()
		time.AfterFunc(time.Duration(request.LeaseMS)*time.Millisecond, func() { e.release(request.ID, pb.EngineEvent_STATE_RELEASED) })
	}
	json.NewEncoder(w).Encode(map[string]bool{"held": reserved}) //nolint:errcheck // the peer left
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
