package proxy

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"turmericcove.org/cove"
)

// counterPanics counts the requests that ended with a panic.
const counterPanics = "proxy.panics"

const (
	// panicLogInterval is the shortest interval of log lines about panics. Every
	// request may panic for the same reason.
	panicLogInterval = time.Second
	// maxPanicStack bounds the stack in a log line to the innermost frames.
	maxPanicStack = 8 << 10
)

// errPanic is the refusal of a request that ended with a panic.
var errPanic = refuseUnknown(http.StatusInternalServerError, cove.ReasonInternal, "internal error")

// handlePanic is deferred by the handlers. It ends the attempts of a request that
// panicked and writes a refusal, unless the header of the response has been written:
// then it aborts the connection, as net/http does after any panic.
func (p *Proxy) handlePanic(x *exchange) {
	v := recover()
	if v == nil {
		return
	}
	if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(v)
	}
	p.Counters.Add(counterPanics, 1)
	p.logPanic(x, v)
	x.abandonAttempts()
	if x.answered {
		panic(http.ErrAbortHandler)
	}
	clear(x.w.Header())
	if x.fromPeer {
		writeHopRefusal(x.w, errPanic)
		return
	}
	p.writeFailure(x, errPanic)
}

func (p *Proxy) logPanic(x *exchange, v any) {
	now := p.Clock.Now().UnixNano()
	last := p.panicLogged.Load()
	if last != 0 && now-last < int64(panicLogInterval) || !p.panicLogged.CompareAndSwap(last, now) {
		return
	}
	stack := debug.Stack()
	p.Events.Emit("proxy.panic", fmt.Sprint(v),
		cove.Field{Name: "request", Value: x.callerID},
		cove.Field{Name: "stack", Value: string(stack[:min(len(stack), maxPanicStack)])})
}

// abandonAttempts ends the attempts that have not ended.
func (x *exchange) abandonAttempts() {
	x.attemptsMu.Lock()
	t := x.lastAttempt
	x.attemptsMu.Unlock()
	for ; t != nil; t = t.previous {
		if t.ended.Load() {
			continue
		}
		if t.upstream != nil {
			t.upstream.finish(false)
		}
		t.done(cove.AttemptResult{Canceled: true})
	}
}

// addAttempt records an attempt for abandonAttempts. Hedged attempts run concurrently.
func (x *exchange) addAttempt(t *attempt) {
	x.attemptsMu.Lock()
	defer x.attemptsMu.Unlock()
	t.previous, x.lastAttempt = x.lastAttempt, t
}
