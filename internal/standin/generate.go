package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// completionRequest is the part of a request that the stand-in reads.
type completionRequest struct {
	Model         string    `json:"model"`
	Messages      []Message `json:"messages"`
	Prompt        string    `json:"prompt"`
	Stream        bool      `json:"stream"`
	MaxTokens     int       `json:"max_tokens"`
	MaxCompletion int       `json:"max_completion_tokens"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// run is one request on an engine.
type run struct {
	id       fleet.RequestID
	chat     bool
	request  completionRequest
	item     fleet.Item
	prompt   string
	tokens   []string
	priority int
	// first is the offset of the first event to send.
	first   int
	copied  *held
	started chan struct{}
	active  bool
	ctx     context.Context
	cancel  context.CancelFunc
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request)       { e.complete(w, r, true) }
func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) { e.complete(w, r, false) }

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	job := &run{chat: chat, started: make(chan struct{}), id: fleet.RequestID(r.Header.Get(engine.RequestIDHeader))}
	if !readJSON(w, r, &job.request) || !job.prepare(w, r) {
		return
	}
	if !e.enqueue(r.Context(), job) {
		writeError(w, http.StatusNotFound, "model_not_found", "model "+job.request.Model+" is not loaded")
		return
	}
	defer e.finish(job)
	select {
	case <-job.started:
	case <-job.ctx.Done():
		panic(http.ErrAbortHandler)
	}
	if e.crashesOn(job.prompt) {
		if e.Crash() {
			e.config.Ledger.addCrash(job.prompt)
		}
		panic(http.ErrAbortHandler)
	}
	if !wait.For(job.ctx, e.prefill(job)) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(engine.RequestIDHeader, string(job.id))
	if job.request.Stream {
		e.stream(w, r, job)
		return
	}
	for next := time.Now(); job.first < len(job.tokens); job.first++ {
		next = next.Add(e.interval())
		if !wait.For(job.ctx, time.Until(next)) {
			panic(http.ErrAbortHandler)
		}
	}
	e.gate.check(r.Context())
	writeJSON(w, http.StatusOK, job.whole())
}

// prepare works out what a request asks for and from which offset.
func (j *run) prepare(w http.ResponseWriter, r *http.Request) bool {
	if j.id == "" {
		j.id = fleet.RequestID(uuid.NewString())
	}
	j.item = fleet.ParseItem(j.request.Model)
	j.prompt = j.request.Prompt
	if j.chat {
		j.prompt = ChatPrompt(j.request.Messages...)
	}
	j.tokens = Tokens(j.item, j.prompt, max(j.request.MaxTokens, j.request.MaxCompletion))
	j.priority, _ = strconv.Atoi(r.Header.Get(engine.PriorityHeader))
	last := r.Header.Get(engine.LastEventIDHeader)
	if last == "" {
		return true
	}
	id, offset, _ := strings.Cut(last, "/")
	number, err := strconv.Atoi(offset)
	if err != nil || fleet.RequestID(id) != j.id || number < 0 {
		writeError(w, http.StatusBadRequest, "invalid_event_id", "Last-Event-Id does not belong to this request")
		return false
	}
	j.first = number + 1
	return true
}

// enqueue starts a request or lets it wait for a place, ordered by priority,
// lowest first. It returns false if the item is not loaded.
func (e *Engine) enqueue(ctx context.Context, job *run) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	job.copied = e.find(job.item)
	if job.copied == nil || e.down {
		return false
	}
	var cancel context.CancelFunc
	job.ctx, cancel = context.WithCancel(ctx)
	detach := context.AfterFunc(e.life, cancel)
	job.cancel = func() {
		detach()
		cancel()
	}
	e.runs[job.id] = job
	job.copied.Queued++
	at, _ := slices.BinarySearchFunc(e.waiting, job.priority, func(other *run, priority int) int {
		if other.priority <= priority {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, at, job)
	e.dispatch()
	return true
}

// dispatch starts waiting requests while there are places. The caller holds
// the lock.
func (e *Engine) dispatch() {
	for len(e.waiting) > 0 && e.running < max(1, e.config.Concurrency) {
		job := e.waiting[0]
		e.waiting = e.waiting[1:]
		job.active = true
		job.copied.Queued--
		job.copied.Running++
		e.running++
		e.started++
		close(job.started)
	}
}

func (e *Engine) finish(job *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	job.cancel()
	if e.runs[job.id] == job {
		delete(e.runs, job.id)
	}
	if job.active {
		e.running--
		job.copied.Running--
	} else {
		job.copied.Queued--
		e.waiting = slices.DeleteFunc(e.waiting, func(other *run) bool { return other == job })
	}
	e.dispatch()
}

func (e *Engine) crashesOn(prompt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.CrashOn != "" && strings.Contains(prompt, e.faults.CrashOn)
}

// interval returns the time between two tokens of one request at the present
// batch size, and counts a token.
func (e *Engine) interval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.generated++
	interval := 0.0
	if e.config.RequestRate > 0 {
		interval = 1 / e.config.RequestRate
	}
	if e.config.TokenRate > 0 {
		interval = max(interval, float64(e.running)/e.config.TokenRate)
	}
	return time.Duration(interval * float64(time.Second))
}

// chunk returns the event of one offset: a token, then the end with its
// finish reason, then the usage if it was asked for.
func (j *run) chunk(offset int) completion {
	object := "text_completion"
	part := choice{}
	switch {
	case j.chat:
		object = "chat.completion.chunk"
		part.Delta = &Message{}
		if offset == 0 {
			part.Delta.Role = "assistant"
		}
		if offset < len(j.tokens) {
			part.Delta.Content = j.tokens[offset]
		}
	case offset < len(j.tokens):
		part.Text = j.tokens[offset]
	}
	chunk := completion{
		ID: string(j.id), Object: object, Created: time.Now().Unix(), Model: j.request.Model, Choices: []choice{part},
	}
	switch {
	case offset == len(j.tokens):
		chunk.Choices[0].FinishReason = new("stop")
	case offset > len(j.tokens):
		chunk.Choices = []choice{}
		chunk.Usage = j.usage()
	}
	return chunk
}

// events returns the number of events before the closing one.
func (j *run) events() int {
	if j.request.StreamOptions.IncludeUsage {
		return len(j.tokens) + 2
	}
	return len(j.tokens) + 1
}

func (j *run) usage() *usage {
	prompt := len(strings.Fields(j.prompt))
	return &usage{prompt, len(j.tokens), prompt + len(j.tokens)}
}

// whole returns the answer without a stream.
func (j *run) whole() completion {
	text := strings.Join(j.tokens, "")
	answer := completion{
		ID: string(j.id), Object: "text_completion", Created: time.Now().Unix(), Model: j.request.Model,
		Choices: []choice{{Text: text, FinishReason: new("stop")}}, Usage: j.usage(),
	}
	if j.chat {
		answer.Object = "chat.completion"
		answer.Choices[0].Text, answer.Choices[0].Message = "", &Message{Role: "assistant", Content: text}
	}
	return answer
}

// stream sends the events from the first offset on. Events are flushed before
// each wait, so an engine without a rate sends as fast as the reader reads.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, job *run) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	out := bufio.NewWriter(w)
	flush := func() {
		e.gate.check(r.Context())
		_ = out.Flush()
		_ = http.NewResponseController(w).Flush()
	}
	next := time.Now()
	for offset := job.first; offset < job.events(); offset++ {
		if offset < len(job.tokens) {
			next = next.Add(e.interval())
		}
		if early := time.Until(next); early > 0 {
			flush()
			wait.For(job.ctx, early)
		}
		if job.ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		body, _ := json.Marshal(job.chunk(offset))
		writeEvent(out, job.id, offset, body)
	}
	writeEvent(out, job.id, job.events(), []byte("[DONE]"))
	flush()
}

func writeEvent(out *bufio.Writer, id fleet.RequestID, offset int, body []byte) {
	_, _ = out.WriteString("id: " + string(id) + "/" + strconv.Itoa(offset) + "\ndata: ")
	_, _ = out.Write(body)
	_, _ = out.WriteString("\n\n")
}

// prefill returns the time before the first token and puts the prompt's prefix
// into the cache.
func (e *Engine) prefill(job *run) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	size := len(job.prompt)
	entry := engine.CacheOrder{Item: job.item, Prefix: engine.Prefix(job.prompt)}
	if e.remember(entry) {
		size = max(0, size-engine.PrefixBytes)
	}
	if e.config.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(size) / e.config.PrefillRate * float64(time.Second))
}

// maxEvents is how many cache events an engine keeps for readers.
const maxEvents = 10_000

// remember puts an entry at the end of the cache, evicts the least recently
// used one, and reports whether the entry was there. The caller holds the lock.
func (e *Engine) remember(entry engine.CacheOrder) bool {
	at := slices.Index(e.cache, entry)
	if at >= 0 {
		e.cache = append(slices.Delete(e.cache, at, at+1), entry)
		return true
	}
	e.cache = append(e.cache, entry)
	e.event(entry, true)
	if len(e.cache) > max(1, e.config.CacheEntries) {
		e.event(e.cache[0], false)
		e.cache = e.cache[1:]
	}
	return false
}

func (e *Engine) event(entry engine.CacheOrder, added bool) {
	sequence := uint64(1)
	if len(e.events) > 0 {
		sequence = e.events[len(e.events)-1].Sequence + 1
	}
	e.events = append(e.events, engine.CacheEvent{Sequence: sequence, Item: entry.Item, Prefix: entry.Prefix, Added: added})
	if len(e.events) > maxEvents {
		e.events = slices.Clone(e.events[maxEvents/2:])
	}
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	gap := e.faults.EventGap
	events := make([]engine.CacheEvent, 0)
	for _, event := range e.events {
		if event.Sequence > after && (gap == 0 || event.Sequence%gap != 0) {
			events = append(events, event)
		}
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, events)
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	var order engine.CacheOrder
	if !readJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	found := slices.Contains(e.cache, order)
	e.mu.Unlock()
	if !found {
		writeError(w, http.StatusNotFound, "not_cached", "no cache entry for the prefix")
		return
	}
	writeJSON(w, http.StatusOK, engine.CacheBlock{Item: order.Item, Prefix: order.Prefix, Block: []byte(order.Item.String())})
}

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var block engine.CacheBlock
	if !readJSON(w, r, &block) {
		return
	}
	e.mu.Lock()
	e.remember(engine.CacheOrder{Item: block.Item, Prefix: block.Prefix})
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	var order engine.CancelOrder
	if !readJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	if job, found := e.runs[order.Request]; found {
		job.cancel()
	}
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (e *Engine) handleModels(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	entries := make([]modelEntry, 0, len(e.held))
	for _, copied := range e.held {
		if copied.State == engine.Ready {
			entries = append(entries, modelEntry{ID: copied.Item.String(), Object: "model", OwnedBy: string(e.config.ID)})
		}
	}
	e.mu.Unlock()
	slices.SortFunc(entries, func(a, b modelEntry) int { return strings.Compare(a.ID, b.ID) })
	writeJSON(w, http.StatusOK, struct {
		Object string       `json:"object"`
		Data   []modelEntry `json:"data"`
	}{"list", entries})
}
