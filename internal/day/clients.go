package day

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/gjson"
	"google.golang.org/protobuf/proto"

	"cherryhub/internal/config"
	pb "cherryhub/proto"
)

// clientLoad runs a day's clients.
type clientLoad struct {
	run           *dayRun
	httpClient    *http.Client
	lastID        atomic.Int64 // of completions
	nextRouter    atomic.Int64 // round robin over the routers
	workloadIndex map[string]int
}

func newClientLoad(run *dayRun) *clientLoad {
	l := &clientLoad{run: run, workloadIndex: map[string]int{}, httpClient: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 256, DisableCompression: true, IdleConnTimeout: 10 * time.Second}}}
	for i, w := range run.day.GetRouter().GetWorkloads() {
		l.workloadIndex[w.GetName()] = i
	}
	return l
}

// session is one client's session, drawn before the day begins.
type session struct {
	startsAt float64 // in seconds from the day's start
	clients  *pb.Clients
	seed     uint64
	turns    int
}

// drawSessions draws all sessions: a Poisson process whose rate follows the script, by thinning.
func (l *clientLoad) drawSessions() (sessions []session) {
	day := l.run.day
	for i, clients := range day.GetClients() {
		rng := rand.New(rand.NewPCG(day.GetSeed(), 1000+uint64(i)))
		maxRate := clients.GetSessionsPerS() * l.maxOverloadFactor()
		if maxRate <= 0 {
			continue
		}
		for at := rng.ExpFloat64() / maxRate; at < day.GetLengthS(); at += rng.ExpFloat64() / maxRate {
			s := session{startsAt: at, clients: clients, seed: rng.Uint64(), turns: 1}
			for rng.Float64() > 1/clients.GetTurns() && s.turns < maxTurns {
				s.turns++
			}
			if rng.Float64()*l.maxOverloadFactor() < l.overloadFactor(at) {
				sessions = append(sessions, s)
			}
		}
	}
	return sessions
}

const maxTurns = 20

func (l *clientLoad) overloadFactor(at float64) float64 {
	factor := 1.0
	if t := l.activeTrouble(pb.Kind_OVERLOAD, at); t != nil {
		factor = max(1, t.GetSize())
	}
	return factor
}

func (l *clientLoad) maxOverloadFactor() float64 {
	maxFactor := 1.0
	for _, t := range l.run.day.GetTroubles() {
		if t.GetKind() == pb.Kind_OVERLOAD {
			maxFactor = max(maxFactor, t.GetSize())
		}
	}
	return maxFactor
}

// activeTrouble returns the trouble of a kind that is active at a time, nil if there is none.
func (l *clientLoad) activeTrouble(kind pb.Kind, at float64) *pb.Trouble {
	for _, t := range l.run.day.GetTroubles() {
		if t.GetKind() == kind && at >= t.GetAtS() && at < t.GetAtS()+t.GetLengthS() {
			return t
		}
	}
	return nil
}

// runSessions runs all sessions and waits until they end.
func (l *clientLoad) runSessions(ctx context.Context) {
	sessions := l.drawSessions()
	start := time.Now()
	var wg sync.WaitGroup
	for _, s := range sessions {
		wg.Go(func() {
			if sleep(ctx, time.Until(start.Add(config.Seconds(s.startsAt)))) {
				l.runSession(ctx, s, start)
			}
		})
	}
	wg.Wait()
	l.httpClient.CloseIdleConnections()
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// randomText returns a text of about the given number of tokens, the same for the same seed.
func randomText(seed uint64, tokens int) string {
	rng := rand.New(rand.NewPCG(seed, 7))
	var b strings.Builder
	for b.Len() < tokens*4 {
		b.WriteString(words[rng.IntN(len(words))])
		b.WriteByte(' ')
	}
	return b.String()
}

var words = strings.Fields("bore flange quote lathe steel part drawing weld order price sheet gauge thread batch shift pallet")

// runSession runs one session.
func (l *clientLoad) runSession(ctx context.Context, s session, start time.Time) {
	rng := rand.New(rand.NewPCG(s.seed, 9))
	var messages []message
	if hotPrefix := l.activeTrouble(pb.Kind_HOT_BEGINNING, s.startsAt); hotPrefix != nil && rng.Float64() < hotPrefix.GetSize() {
		messages = append(messages, message{"system", randomText(uint64(1e9*hotPrefix.GetAtS())+1, int(s.clients.GetBeginningTokens())*2)})
	} else if rng.Float64() < s.clients.GetBeginningShare() && s.clients.GetBeginnings() > 0 {
		messages = append(messages, message{"system", randomText(uint64(rng.IntN(int(s.clients.GetBeginnings())))+100,
			int(s.clients.GetBeginningTokens()))})
	}
	for turn := range s.turns {
		if turn > 0 && !sleep(ctx, config.Seconds(rng.ExpFloat64()*s.clients.GetThinkS())) {
			return
		}
		tokens := float64(s.clients.GetNewTokens()) * (0.3 + 0.7*rng.ExpFloat64())
		elapsed := time.Since(start).Seconds()
		if t := l.activeTrouble(pb.Kind_LONG_PROMPTS, elapsed); t != nil && rng.Float64() < 0.1 {
			tokens *= max(1, t.GetSize())
		}
		messages = append(messages, message{"user", randomText(rng.Uint64(), int(math.Min(tokens, 200e3)))})
		answer, ok := l.complete(ctx, s, messages, start, rng)
		if !ok {
			return
		}
		messages = append(messages, message{"assistant", answer})
	}
}

// complete sends one completion, with its retries.
func (l *clientLoad) complete(ctx context.Context, s session, messages []message, start time.Time, rng *rand.Rand) (answer string, ok bool) {
	workloadIndex := l.workloadIndex[s.clients.GetWorkload()]
	workload := l.run.day.GetRouter().GetWorkloads()[workloadIndex]
	c := &completionCall{load: l, workload: workload, workloadIndex: workloadIndex, streamed: rng.Float64() < s.clients.GetStreamed(),
		messages: messages, session: strconv.FormatUint(s.seed, 36), maxTokens: int(s.clients.GetAnswerTokens()), rng: rng}
	maxRetries := int(s.clients.GetRetries())
	for attempt := 0; ; attempt++ {
		c.timeout, c.timeoutStated, c.leaveAfter = workload.GetClientTimeoutS(), false, 0
		if rng.Float64() < s.clients.GetStatesTimeout() {
			c.timeout, c.timeoutStated = c.timeout*(0.5+rng.Float64()/2), true
		}
		if rng.Float64() < s.clients.GetLeaves() {
			c.leaveAfter = rng.Float64() * 1.5
		}
		kind, wait := c.attempt(ctx)
		hardRetries := l.activeTrouble(pb.Kind_CLIENTS_RETRY_HARD, time.Since(start).Seconds())
		if hardRetries != nil {
			maxRetries, wait = max(maxRetries, int(hardRetries.GetSize())), 0
		} else {
			wait = max(wait, s.clients.GetRetryWaitS()) * (0.75 + rng.Float64()/2)
		}
		retry := kind == pb.ClientEvent_RATE_LIMITED || kind == pb.ClientEvent_NO_CONNECTION ||
			workload.GetEffect() == pb.Effect_IDEMPOTENT && (kind == pb.ClientEvent_ABORTED || kind == pb.ClientEvent_CUT)
		if kind == pb.ClientEvent_FINISHED {
			return c.answer, true
		}
		if !retry || attempt >= maxRetries || !sleep(ctx, config.Seconds(wait)) {
			return "", false
		}
	}
}

// completionCall is a completion as its client sends it. The fields after rng describe its current attempt.
type completionCall struct {
	load          *clientLoad
	workload      *pb.Workload
	workloadIndex int
	messages      []message
	session       string
	maxTokens     int
	streamed      bool
	rng           *rand.Rand

	timeout       float64
	timeoutStated bool    // sent in the Cherryhub-Timeout header
	leaveAfter    float64 // 0: the client does not leave early
	id            int64
	firstTry      int64 // id of the first attempt
	answer        string
	promptTokens  int
}

func (c *completionCall) record(kind pb.ClientEvent_Kind, set func(*pb.ClientEvent)) {
	e := &pb.ClientEvent{Kind: kind.Enum(), Completion: proto.Int64(c.id)}
	if set != nil {
		set(e)
	}
	c.load.run.recorder.Write(&pb.Entry{What: &pb.Entry_Client{Client: e}})
}

// Causes for which a client ends an attempt.
var (
	errClientTimeout = errors.New("client timeout")
	errClientLeft    = errors.New("client left")
)

// attempt sends the completion once. It returns how the attempt ended and how long to wait before the next.
func (c *completionCall) attempt(ctx context.Context) (kind pb.ClientEvent_Kind, wait float64) {
	l := c.load
	c.id = l.lastID.Add(1)
	if c.firstTry == 0 {
		c.firstTry = c.id
	}
	router := l.run.routers[int(l.nextRouter.Add(1))%len(l.run.routers)]
	body, err := json.Marshal(map[string]any{"model": c.workload.GetName(), "messages": c.messages, "stream": c.streamed, "max_tokens": c.maxTokens,
		"prompt_cache_key": c.session})
	if err != nil {
		return pb.ClientEvent_REFUSED, 0
	}
	c.promptTokens = len(body) / 4
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(config.Seconds(c.timeout), func() { cancel(errClientTimeout) })
	defer timer.Stop()
	if c.leaveAfter > 0 {
		defer time.AfterFunc(config.Seconds(c.leaveAfter), func() { cancel(errClientLeft) }).Stop()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router.address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return pb.ClientEvent_REFUSED, 0
	}
	req.GetBody = nil // otherwise net/http resends a request with an idempotency key by itself
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", fmt.Sprintf("k%d-%d", l.run.day.GetSeed(), c.firstTry))
	if c.timeoutStated {
		req.Header.Set("Cherryhub-Timeout", strconv.FormatFloat(c.timeout, 'f', 3, 64))
	}
	c.record(pb.ClientEvent_SENT, func(e *pb.ClientEvent) {
		e.FirstTry, e.Router, e.Workload = proto.Int64(c.firstTry), proto.String(router.name), proto.Int32(int32(c.workloadIndex))
		e.Key, e.TimeoutS, e.Streamed = proto.String(req.Header.Get("Idempotency-Key")), proto.Float64(c.timeout), proto.Bool(c.streamed)
		e.PromptTokens = proto.Int32(int32(c.promptTokens))
	})
	resp, err := l.httpClient.Do(req)
	if err != nil {
		return c.recordFailure(ctx, err), 0
	}
	defer resp.Body.Close()
	requestID := resp.Header.Get("X-Request-Id")
	if resp.StatusCode != http.StatusOK {
		text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
		if err != nil {
			return c.recordFailure(ctx, err), 0
		}
		return c.recordRefusal(resp, text, requestID)
	}
	if c.streamed {
		return c.readStream(ctx, resp, requestID, timer), 0
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return c.recordFailure(ctx, err), 0
	}
	if !gjson.GetBytes(text, "choices.0.finish_reason").Exists() {
		c.record(pb.ClientEvent_CUT, func(e *pb.ClientEvent) { e.Detail = proto.String("no whole answer") })
		return pb.ClientEvent_CUT, 0
	}
	c.answer = gjson.GetBytes(text, "choices.0.message.content").Str
	return c.recordFinished(requestID), 0
}

func (c *completionCall) recordFinished(requestID string) pb.ClientEvent_Kind {
	c.record(pb.ClientEvent_FINISHED, func(e *pb.ClientEvent) {
		e.Detail, e.AnswerTokens, e.Status = proto.String(requestID), proto.Int32(int32(len(strings.Fields(c.answer)))), proto.Int32(200)
	})
	return pb.ClientEvent_FINISHED
}

// recordFailure records an attempt that ended without an answer.
func (c *completionCall) recordFailure(ctx context.Context, err error) pb.ClientEvent_Kind {
	kind := pb.ClientEvent_CUT
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errClientTimeout):
		kind = pb.ClientEvent_GAVE_UP
	case cause != nil:
		kind = pb.ClientEvent_LEFT
	case strings.Contains(err.Error(), "connection refused"):
		kind = pb.ClientEvent_NO_CONNECTION
	}
	c.record(kind, func(e *pb.ClientEvent) { e.Detail = proto.String(err.Error()) })
	return kind
}

func (c *completionCall) recordRefusal(resp *http.Response, body []byte, requestID string) (pb.ClientEvent_Kind, float64) {
	kind := pb.ClientEvent_REFUSED
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		kind = pb.ClientEvent_RATE_LIMITED
	case resp.StatusCode >= 500:
		kind = pb.ClientEvent_ABORTED
	}
	wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After-Ms"), 64)
	if err != nil {
		wait = 0
	}
	c.record(kind, func(e *pb.ClientEvent) {
		e.Status, e.Detail, e.ComeBackS = proto.Int32(int32(resp.StatusCode)), proto.String(requestID), proto.Float64(wait/1000)
	})
	if kind == pb.ClientEvent_REFUSED {
		c.load.run.options.OnProgress(fmt.Sprintf("refused: %d %.200s", resp.StatusCode, body))
	}
	return kind, wait / 1000
}

// readStream reads a streamed answer until the connection closes, so that data after the final event is recorded.
func (c *completionCall) readStream(ctx context.Context, resp *http.Response, requestID string, timer *time.Timer) pb.ClientEvent_Kind {
	outcome := pb.ClientEvent_UNKNOWN
	var answer strings.Builder
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			if lines.Text() == "" {
				continue
			}
			data = lines.Text()
		}
		switch {
		case outcome != pb.ClientEvent_UNKNOWN:
			c.record(pb.ClientEvent_AFTER, func(e *pb.ClientEvent) { e.Detail = proto.String(data[:min(len(data), 200)]) })
		case data == "[DONE]":
			c.answer = answer.String()
			outcome = c.recordFinished(requestID)
		case gjson.Get(data, "error").Exists():
			outcome = pb.ClientEvent_ABORTED
			c.record(outcome, func(e *pb.ClientEvent) { e.Detail, e.Status = proto.String(requestID), proto.Int32(200) })
		default:
			if text := gjson.Get(data, "choices.0.delta.content").Str; text != "" {
				if answer.Len() == 0 {
					c.record(pb.ClientEvent_FIRST, nil)
					if !c.timeoutStated {
						timer.Stop()
					}
				}
				answer.WriteString(text)
			}
		}
	}
	if outcome != pb.ClientEvent_UNKNOWN {
		return outcome
	}
	err := lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return c.recordFailure(ctx, err)
}
