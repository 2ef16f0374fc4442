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

// load is a day's clients.
type clientLoad struct {
	run           *dayRun
	httpClient    *http.Client
	lastID        atomic.Int64 // completions
	nextRouter    atomic.Int64 // of routers
	workloadIndex map[string]int
}

func newClientLoad(p *dayRun) *clientLoad {
	l := &clientLoad{run: p, workloadIndex: map[string]int{}, httpClient: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 256, DisableCompression: true, IdleConnTimeout: 10 * time.Second}}}
	for i, w := range p.day.GetRouter().GetWorkloads() {
		l.workloadIndex[w.GetName()] = i
	}
	return l
}

// session is one client's talk, drawn before the day begins.
type session struct {
	startsAt float64 // seconds
	clients  *pb.Clients
	seed     uint64
	turns    int
}

// draw draws all sessions: a Poisson process whose rate follows the script.
func (l *clientLoad) drawSessions() (all []session) {
	d := l.run.day
	for i, c := range d.GetClients() {
		rng := rand.New(rand.NewPCG(d.GetSeed(), 1000+uint64(i)))
		highest := c.GetSessionsPerS() * l.maxOverloadFactor()
		if highest <= 0 {
			continue
		}
		for at := rng.ExpFloat64() / highest; at < d.GetLengthS(); at += rng.ExpFloat64() / highest {
			s := session{startsAt: at, clients: c, seed: rng.Uint64(), turns: 1}
			for rng.Float64() > 1/c.GetTurns() && s.turns < maxTurns {
				s.turns++
			}
			if rng.Float64()*l.maxOverloadFactor() < l.overloadFactor(at) {
				all = append(all, s)
			}
		}
	}
	return all
}

const maxTurns = 20

func (l *clientLoad) overloadFactor(at float64) float64 {
	times := 1.0
	if t := l.activeTrouble(pb.Kind_OVERLOAD, at); t != nil {
		times = max(1, t.GetSize())
	}
	return times
}

func (l *clientLoad) maxOverloadFactor() float64 {
	most := 1.0
	for _, t := range l.run.day.GetTroubles() {
		if t.GetKind() == pb.Kind_OVERLOAD {
			most = max(most, t.GetSize())
		}
	}
	return most
}

// trouble is the clients' trouble of a kind that is in force, nil for none.
func (l *clientLoad) activeTrouble(kind pb.Kind, at float64) *pb.Trouble {
	for _, t := range l.run.day.GetTroubles() {
		if t.GetKind() == kind && at >= t.GetAtS() && at < t.GetAtS()+t.GetLengthS() {
			return t
		}
	}
	return nil
}

// run plays all sessions and waits for their ends.
func (l *clientLoad) runSessions(ctx context.Context) {
	all := l.drawSessions()
	start := time.Now()
	var wg sync.WaitGroup
	for _, s := range all {
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

// text is so many tokens of text, the same for the same seed.
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

// talk plays one session.
func (l *clientLoad) runSession(ctx context.Context, s session, start time.Time) {
	rng := rand.New(rand.NewPCG(s.seed, 9))
	var talk []message
	if hot := l.activeTrouble(pb.Kind_HOT_BEGINNING, s.startsAt); hot != nil && rng.Float64() < hot.GetSize() {
		talk = append(talk, message{"system", randomText(uint64(1e9*hot.GetAtS())+1, int(s.clients.GetBeginningTokens())*2)})
	} else if rng.Float64() < s.clients.GetBeginningShare() && s.clients.GetBeginnings() > 0 {
		talk = append(talk, message{"system", randomText(uint64(rng.IntN(int(s.clients.GetBeginnings())))+100, int(s.clients.GetBeginningTokens()))})
	}
	for turn := range s.turns {
		if turn > 0 && !sleep(ctx, config.Seconds(rng.ExpFloat64()*s.clients.GetThinkS())) {
			return
		}
		tokens := float64(s.clients.GetNewTokens()) * (0.3 + 0.7*rng.ExpFloat64())
		now := time.Since(start).Seconds()
		if t := l.activeTrouble(pb.Kind_LONG_PROMPTS, now); t != nil && rng.Float64() < 0.1 {
			tokens *= max(1, t.GetSize())
		}
		talk = append(talk, message{"user", randomText(rng.Uint64(), int(math.Min(tokens, 200e3)))})
		answer, ok := l.complete(ctx, s, talk, start, rng)
		if !ok {
			return
		}
		talk = append(talk, message{"assistant", answer})
	}
}

// complete plays one completion with its tries.
func (l *clientLoad) complete(ctx context.Context, s session, talk []message, start time.Time, rng *rand.Rand) (answer string, ok bool) {
	work := l.workloadIndex[s.clients.GetWorkload()]
	w := l.run.day.GetRouter().GetWorkloads()[work]
	c := &completionCall{load: l, workload: w, workloadIndex: work, streamed: rng.Float64() < s.clients.GetStreamed(), messages: talk, session: strconv.FormatUint(s.seed, 36),
		maxTokens: int(s.clients.GetAnswerTokens()), rng: rng}
	most := int(s.clients.GetRetries())
	for try := 0; ; try++ {
		c.timeout, c.timeoutStated, c.leaveAfter = w.GetClientTimeoutS(), false, 0
		if rng.Float64() < s.clients.GetStatesTimeout() {
			c.timeout, c.timeoutStated = c.timeout*(0.5+rng.Float64()/2), true
		}
		if rng.Float64() < s.clients.GetLeaves() {
			c.leaveAfter = rng.Float64() * 1.5
		}
		kind, wait := c.attempt(ctx)
		hard := l.activeTrouble(pb.Kind_CLIENTS_RETRY_HARD, time.Since(start).Seconds())
		if hard != nil {
			most, wait = max(most, int(hard.GetSize())), 0
		} else {
			wait = max(wait, s.clients.GetRetryWaitS()) * (0.75 + rng.Float64()/2)
		}
		again := kind == pb.ClientEvent_RATE_LIMITED || kind == pb.ClientEvent_NO_CONNECTION ||
			w.GetEffect() == pb.Effect_IDEMPOTENT && (kind == pb.ClientEvent_ABORTED || kind == pb.ClientEvent_CUT)
		if kind == pb.ClientEvent_FINISHED {
			return c.answer, true
		}
		if !again || try >= most || !sleep(ctx, config.Seconds(wait)) {
			return "", false
		}
	}
}

// call is a completion as its client makes it.
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
	timeoutStated bool
	leaveAfter    float64 // 0: it stays
	id            int64
	firstTry      int64
	answer        string
	promptTokens  int
}

func (c *completionCall) record(kind pb.ClientEvent_Kind, change func(*pb.ClientEvent)) {
	e := &pb.ClientEvent{Kind: kind.Enum(), Completion: proto.Int64(c.id)}
	if change != nil {
		change(e)
	}
	c.load.run.recorder.Write(&pb.Entry{What: &pb.Entry_Client{Client: e}})
}

// errTimeout ends a try whose client timeout passed.
var (
	errClientTimeout = errors.New("client timeout")
	errClientLeft    = errors.New("client left")
)

// try makes one try and tells how it ended and how long to wait before the next.
func (c *completionCall) attempt(ctx context.Context) (kind pb.ClientEvent_Kind, wait float64) {
	l := c.load
	c.id = l.lastID.Add(1)
	if c.firstTry == 0 {
		c.firstTry = c.id
	}
	r := l.run.routers[int(l.nextRouter.Add(1))%len(l.run.routers)]
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
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return pb.ClientEvent_REFUSED, 0
	}
	req.GetBody = nil // net/http would send a call with a key again by itself
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", fmt.Sprintf("k%d-%d", l.run.day.GetSeed(), c.firstTry))
	if c.timeoutStated {
		req.Header.Set("Cherryhub-Timeout", strconv.FormatFloat(c.timeout, 'f', 3, 64))
	}
	c.record(pb.ClientEvent_SENT, func(e *pb.ClientEvent) {
		e.FirstTry, e.Router, e.Workload = proto.Int64(c.firstTry), proto.String(r.name), proto.Int32(int32(c.workloadIndex))
		e.Key, e.TimeoutS, e.Streamed = proto.String(req.Header.Get("Idempotency-Key")), proto.Float64(c.timeout), proto.Bool(c.streamed)
		e.PromptTokens = proto.Int32(int32(c.promptTokens))
	})
	resp, err := l.httpClient.Do(req)
	if err != nil {
		return c.recordFailure(ctx, err), 0
	}
	defer resp.Body.Close()
	name := resp.Header.Get("X-Request-Id")
	if resp.StatusCode != http.StatusOK {
		text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
		if err != nil {
			return c.recordFailure(ctx, err), 0
		}
		return c.recordRefusal(resp, text, name)
	}
	if c.streamed {
		return c.readStream(ctx, resp, name, timer), 0
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
	return c.recordFinished(name), 0
}

func (c *completionCall) recordFinished(name string) pb.ClientEvent_Kind {
	c.record(pb.ClientEvent_FINISHED, func(e *pb.ClientEvent) {
		e.Detail, e.AnswerTokens, e.Status = proto.String(name), proto.Int32(int32(len(strings.Fields(c.answer)))), proto.Int32(200)
	})
	return pb.ClientEvent_FINISHED
}

// failed is a try that ended without an answer.
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

func (c *completionCall) recordRefusal(resp *http.Response, text []byte, name string) (pb.ClientEvent_Kind, float64) {
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
		e.Status, e.Detail, e.ComeBackS = proto.Int32(int32(resp.StatusCode)), proto.String(name), proto.Float64(wait/1000)
	})
	if kind == pb.ClientEvent_REFUSED {
		c.load.run.options.OnProgress(fmt.Sprintf("refused: %d %.200s", resp.StatusCode, text))
	}
	return kind, wait / 1000
}

// stream reads a streamed answer to the connection's end, so that anything after the final event is seen.
func (c *completionCall) readStream(ctx context.Context, resp *http.Response, name string, timer *time.Timer) pb.ClientEvent_Kind {
	end := pb.ClientEvent_UNKNOWN
	var answer strings.Builder
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, is := strings.CutPrefix(lines.Text(), "data: ")
		if !is {
			if lines.Text() == "" {
				continue
			}
			data = lines.Text()
		}
		switch {
		case end != pb.ClientEvent_UNKNOWN:
			c.record(pb.ClientEvent_AFTER, func(e *pb.ClientEvent) { e.Detail = proto.String(data[:min(len(data), 200)]) })
		case data == "[DONE]":
			c.answer = answer.String()
			end = c.recordFinished(name)
		case gjson.Get(data, "error").Exists():
			end = pb.ClientEvent_ABORTED
			c.record(end, func(e *pb.ClientEvent) { e.Detail, e.Status = proto.String(name), proto.Int32(200) })
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
	if end != pb.ClientEvent_UNKNOWN {
		return end
	}
	err := lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return c.recordFailure(ctx, err)
}
