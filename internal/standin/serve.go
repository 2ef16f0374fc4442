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
type chatCall struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	Stream        bool `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens           int       `json:"max_tokens"`
	MaxCompletionTokens int       `json:"max_completion_tokens"`
	Transfer            *transfer `json:"kv_transfer_params"`
}

// transfer is vLLM's kv_transfer_params.
type transfer struct {
	DoRemoteDecode  bool   `json:"do_remote_decode"`
	DoRemotePrefill bool   `json:"do_remote_prefill"`
	RemoteEngineID  string `json:"remote_engine_id,omitempty"`
	RemoteBlockIDs  []int  `json:"remote_block_ids,omitempty"`
	RemoteHost      string `json:"remote_host,omitempty"`
	RemotePort      int    `json:"remote_port,omitempty"`
	RemoteRequestID string `json:"remote_request_id,omitempty"`
}

// job is one dispatch at an engine.
type job struct {
	e      *Engine
	call   *chatCall
	work   work
	id     string // of the dispatch
	name   string // of the completion
	key    string
	peer   place
	prompt string
	tokens float64
	blocks []uint64
	cached float64
	answer int
	reads  bool
}

func (j *job) note(kind pb.EngineEvent_Kind, detail string) {
	role := pb.Role_WRITER
	if j.reads {
		role = pb.Role_READER
	}
	j.e.note(&pb.EngineEvent{Kind: kind.Enum(), Completion: proto.String(j.name), Dispatch: proto.String(j.id), Key: proto.String(j.key),
		Peer: proto.String(j.peer.name), Role: role.Enum(), Workload: proto.Int32(int32(j.work.index)),
		WorkS: proto.Float64(j.seconds()), Detail: proto.String(detail)})
}

// seconds is the job's work, as a part of the warm engine's whole capacity.
func (j *job) seconds() float64 {
	s := j.e.set
	work := 0.0
	if j.reads || j.call.Transfer == nil || !j.call.Transfer.DoRemotePrefill {
		work = max(0, j.tokens-j.cached) / s.GetReadTokensPerS()
	}
	if !j.reads {
		work += float64(j.answer) * s.GetTokenMs() / 1000 / float64(s.GetSlots())
	}
	return work
}

func fail(w http.ResponseWriter, status int, format string, a ...any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(map[string]any{"error": map[string]any{"message": fmt.Sprintf(format, a...), "code": status}}) //nolint:errcheck // the peer left
}

func (e *Engine) peer(r *http.Request) place {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	return e.fleet.placeOf(host)
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	peer := e.peer(r)
	body, err := io.ReadAll(io.LimitReader(r.Body, 64<<20))
	if err != nil {
		return
	}
	j := &job{e: e, call: &chatCall{}, peer: peer, id: r.Header.Get("X-Request-Id"), key: r.Header.Get("Idempotency-Key")}
	if err := json.Unmarshal(body, j.call); err != nil || len(j.call.Messages) == 0 {
		fail(w, http.StatusBadRequest, "no chat call: %v", err)
		return
	}
	j.name = completionOf(j.id)
	var known bool
	if j.work, known = e.fleet.workloads[j.call.Model]; !known {
		fail(w, http.StatusNotFound, "no model %q", j.call.Model)
		return
	}
	var prompt strings.Builder
	for _, m := range j.call.Messages {
		prompt.WriteString(m.Role)
		prompt.Write(m.Content)
	}
	j.prompt = prompt.String()
	j.tokens, j.blocks = float64(len(j.prompt))/4, blocks(j.prompt)
	j.cached = e.cached(j.blocks)
	j.reads = j.call.Transfer != nil && j.call.Transfer.DoRemoteDecode
	most := max(1, j.call.MaxTokens, j.call.MaxCompletionTokens)
	j.answer = min(most, 1+int(xxhash.Sum64String(j.prompt)%uint64(2*e.set.GetMeanAnswerTokens())))
	j.note(pb.EngineEvent_ARRIVED, "") // it is on the socket, whether the engine hears it or not
	outcome := "deaf"
	defer func() { j.note(pb.EngineEvent_ENDED, outcome) }()
	if !e.hear(r.Context(), peer) {
		panic(http.ErrAbortHandler)
	}
	if outcome = j.admit(w); outcome != "" {
		return
	}
	if j.reads {
		outcome = j.serveRead(w, r)
	} else {
		outcome = j.serveWrite(w, r)
	}
	if outcome == "broke" || outcome == "lost" {
		panic(http.ErrAbortHandler)
	}
}

// admit turns a job away, or not: "".
func (j *job) admit(w http.ResponseWriter) string {
	e := j.e
	e.mu.Lock()
	ills, draining, started := e.ills, e.draining, e.started
	e.mu.Unlock()
	told := started.IsZero() || e.fleet.List.told(j.peer.name, e.name, started)
	switch {
	case e.pushed(j.seconds(), told):
		go e.hangUp()
		return "fell"
	case ills.fails > 0 && e.fleet.chance() < ills.fails, ills.failsModel == j.work.index:
		fail(w, http.StatusInternalServerError, "engine trouble")
		return "failed"
	case draining:
		fail(w, http.StatusTooManyRequests, "draining")
		return "draining"
	}
	return ""
}

// report is the ORCA header.
func (e *Engine) report() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("TEXT named_metrics.kv_cache_usage_perc=%.4f, named_metrics.num_requests_waiting=%d, "+
		"named_metrics.slots_used=%.4f, named_metrics.thousand_tokens_waiting=%.4f", e.used/e.set.GetMemoryTokens(), len(e.waiting),
		float64(e.running)/float64(e.set.GetSlots()), e.unread/1000)
}

func (j *job) serveRead(w http.ResponseWriter, r *http.Request) string {
	e, ctx := j.e, r.Context()
	if err := e.enter(ctx); err != nil {
		return j.refuse(w, err)
	}
	defer e.leave()
	if !e.take(j.tokens) {
		return j.refuse(w, errFull)
	}
	if err := e.read(ctx, max(0, j.tokens-j.cached)); err != nil || !e.hear(ctx, j.peer) {
		e.giveBack(j.tokens)
		return "left"
	}
	if j.loses() {
		e.giveBack(j.tokens)
		j.wait(ctx)
		return "lost"
	}
	e.keep(j.blocks)
	e.hold(j.id, j.name, j.tokens)
	host, port, _ := net.SplitHostPort(e.address)
	n, _ := strconv.Atoi(port)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Endpoint-Load-Metrics", e.report())
	json.NewEncoder(w).Encode(map[string]any{ //nolint:errcheck // the peer left
		"id": "chatcmpl-" + j.id, "object": "chat.completion", "created": time.Now().Unix(), "model": j.call.Model,
		"choices": []any{map[string]any{"index": 0, "finish_reason": "length", "message": map[string]any{"role": "assistant", "content": "a"}}},
		"usage":   j.usage(1),
		"kv_transfer_params": transfer{DoRemotePrefill: true, RemoteEngineID: e.name, RemoteBlockIDs: []int{1, 2}, RemoteHost: host,
			RemotePort: n, RemoteRequestID: j.id},
	})
	return "done"
}

func (j *job) usage(answer int) map[string]any {
	return map[string]any{"prompt_tokens": int(j.tokens), "completion_tokens": answer, "total_tokens": int(j.tokens) + answer,
		"prompt_tokens_details": map[string]any{"cached_tokens": int(j.cached)}}
}

func (j *job) refuse(w http.ResponseWriter, err error) string {
	if errors.Is(err, errFull) {
		fail(w, http.StatusTooManyRequests, "full")
		return "full"
	}
	return "left"
}

func (j *job) loses() bool {
	j.e.mu.Lock()
	share := j.e.ills.loses
	j.e.mu.Unlock()
	return share > 0 && j.e.fleet.chance() < share
}

func (j *job) wait(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-j.e.alive().Done():
	}
}

// fetch brings the state from its reader. A reader that is cut off, deaf or gone has none to give.
func (j *job) fetch(ctx context.Context) (found bool, err error) {
	t := j.call.Transfer
	from := j.e.fleet.at(net.JoinHostPort(t.RemoteHost, strconv.Itoa(t.RemotePort)))
	if from == nil || !from.isUp() {
		return false, nil
	}
	if !from.hear(ctx, place{zone: j.e.set.GetZone()}) {
		return false, ctx.Err()
	}
	s := from.stateOf(t.RemoteRequestID)
	if s == nil {
		return false, nil
	}
	if err := j.e.sleep(ctx, j.e.fleet.transferTime(from, j.e, s.tokens)); err != nil {
		return false, err
	}
	return from.drop(t.RemoteRequestID, pb.EngineEvent_STATE_TAKEN), nil
}

func (e *Engine) isUp() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.up
}

func (j *job) serveWrite(w http.ResponseWriter, r *http.Request) string {
	e, ctx := j.e, r.Context()
	if e.set.GetRole() == pb.Role_READER {
		fail(w, http.StatusBadRequest, "a reader writes nothing")
		return "refused"
	}
	e.drop(j.name+"-place", pb.EngineEvent_STATE_TAKEN) // its memory is taken anew below
	if err := e.enter(ctx); err != nil {
		return j.refuse(w, err)
	}
	defer e.leave()
	need := j.tokens + float64(j.answer)
	if !e.take(need) {
		return j.refuse(w, errFull)
	}
	defer e.giveBack(need)
	if t := j.call.Transfer; t != nil && t.DoRemotePrefill {
		found, err := j.fetch(ctx)
		if err != nil {
			return "left"
		}
		if !found {
			fail(w, http.StatusFailedDependency, "no state %q", t.RemoteRequestID)
			return "stateless"
		}
	} else if err := e.read(ctx, max(0, j.tokens-j.cached)); err != nil {
		return "left"
	}
	e.keep(j.blocks)
	if e.fleet.first(e, j.work, j.key) {
		j.note(pb.EngineEvent_RAN, "")
	} else {
		j.note(pb.EngineEvent_REPEAT, "")
	}
	if j.loses() {
		j.wait(ctx)
		return "lost"
	}
	return j.stream(ctx, w)
}

// stream writes the answer, a token at a time.
func (j *job) stream(ctx context.Context, w http.ResponseWriter) string {
	e := j.e
	breakAt := -1
	e.mu.Lock()
	breaks := e.ills.breaks
	e.mu.Unlock()
	if breaks > 0 && e.fleet.chance() < breaks {
		breakAt = int(e.fleet.chance() * float64(j.answer))
	}
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Endpoint-Load-Metrics", e.report())
	h.Set("Trailer", "Endpoint-Load-Metrics")
	out := http.NewResponseController(w)
	head := fmt.Sprintf(`{"id":"chatcmpl-%s","object":"chat.completion.chunk","created":%d,"model":%q,"choices":[{"index":0,`, j.id, time.Now().Unix(), j.call.Model)
	send := func(format string, a ...any) error {
		if !e.hear(ctx, j.peer) {
			return errDown
		}
		if _, err := fmt.Fprintf(w, "data: "+format+"\n\n", a...); err != nil {
			return err
		}
		return out.Flush()
	}
	for n := range j.answer {
		if n == breakAt {
			return "broke"
		}
		if n > 0 {
			e.mu.Lock()
			gap := e.set.GetTokenMs() * e.ills.slower * (1 + float64(e.running)/float64(e.set.GetSlots())) / 1.5
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
	if j.call.StreamOptions.IncludeUsage {
		usage, err := json.Marshal(j.usage(j.answer))
		if err != nil {
			return "broke"
		}
		last += fmt.Sprintf("\n\ndata: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\",\"created\":%d,\"model\":%q,\"choices\":[],\"usage\":%s}",
			j.id, time.Now().Unix(), j.call.Model, usage)
	}
	if err := send("%s", last+"\n\ndata: [DONE]"); err != nil {
		return "left"
	}
	w.Header().Set("Endpoint-Load-Metrics", e.report())
	return "done"
}

func (e *Engine) serveRelease(w http.ResponseWriter, r *http.Request) {
	if !e.hear(r.Context(), e.peer(r)) {
		panic(http.ErrAbortHandler)
	}
	if !e.drop(r.PathValue("id"), pb.EngineEvent_STATE_RELEASED) {
		w.WriteHeader(http.StatusNotFound)
	}
}

func (e *Engine) servePlace(w http.ResponseWriter, r *http.Request) {
	if !e.hear(r.Context(), e.peer(r)) {
		panic(http.ErrAbortHandler)
	}
	var call struct {
		ID     string  `json:"id"`
		Tokens float64 `json:"prompt_tokens"`
		Lease  int     `json:"lease_ms"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&call); err != nil {
		fail(w, http.StatusBadRequest, "no place call: %v", err)
		return
	}
	e.mu.Lock()
	free := e.running < int(e.set.GetSlots()) && len(e.waiting) == 0 && !e.draining
	e.mu.Unlock()
	held := free && e.take(call.Tokens)
	if held {
		e.mu.Lock()
		e.places[call.ID] = call.Tokens
		// Recorded under the lock, as drop does: a write that takes the place at once is recorded after it.
		e.note(&pb.EngineEvent{Kind: pb.EngineEvent_PLACE_HELD.Enum(), Dispatch: proto.String(call.ID), Completion: proto.String(completionOf(call.ID))})
		e.mu.Unlock()
		time.AfterFunc(time.Duration(call.Lease)*time.Millisecond, func() { e.drop(call.ID, pb.EngineEvent_STATE_RELEASED) })
	}
	json.NewEncoder(w).Encode(map[string]bool{"held": held}) //nolint:errcheck // the peer left
}

func (e *Engine) serveMetrics(w http.ResponseWriter, r *http.Request) {
	peer := e.peer(r)
	if !e.hear(r.Context(), peer) {
		panic(http.ErrAbortHandler)
	}
	e.note(&pb.EngineEvent{Kind: pb.EngineEvent_PROBED.Enum(), Peer: proto.String(peer.name)})
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	fmt.Fprintf(w, "# TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting %d\n# TYPE vllm:num_requests_running gauge\n"+
		"vllm:num_requests_running %d\n# TYPE vllm:kv_cache_usage_perc gauge\nvllm:kv_cache_usage_perc %.4f\n"+
		"# TYPE standin:slots_used gauge\nstandin:slots_used %.4f\n# TYPE standin:thousand_tokens_waiting gauge\nstandin:thousand_tokens_waiting %.4f\n",
		len(e.waiting), e.running, e.used/e.set.GetMemoryTokens(), float64(e.running)/float64(e.set.GetSlots()), e.unread/1000)
}
