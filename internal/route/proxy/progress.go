package proxy

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"turmericcove.org/cove"
)

// Stages of a request in progress.
const (
	// stageWaiting is the stage of a request that nothing has been sent of.
	stageWaiting int32 = iota
	// stageSent begins before the first byte is sent to a backend server or to
	// another host.
	stageSent
	// stageAnswering begins with the header of the response.
	stageAnswering
	// stageInterrupted is the stage of a request that is not sent any more, because
	// the host stops.
	stageInterrupted
)

// stageNames holds the names of the stages in events.
var stageNames = [...]string{stageWaiting: "waiting", stageSent: "sent", stageAnswering: "answering", stageInterrupted: "interrupted"}

// maxCutEvents bounds the events of a stop about single requests that were cut.
const maxCutEvents = 64

// inProgress holds the exchanges whose route is known. The zero value is empty.
type inProgress struct {
	mu        sync.Mutex
	exchanges map[*exchange]struct{}
}

func (s *inProgress) add(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.exchanges == nil {
		s.exchanges = make(map[*exchange]struct{})
	}
	s.exchanges[x] = struct{}{}
}

func (s *inProgress) remove(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.exchanges, x)
}

// interrupt ends the wait of the requests of which nothing has been sent. They are
// refused as not run.
func (s *inProgress) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for x := range s.exchanges {
		if !x.stage.CompareAndSwap(stageWaiting, stageInterrupted) {
			continue
		}
		x.waitCtx.Load().end()
		// Ends the read of a body. An error means that the caller has gone.
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Unix(1, 0))
	}
}

// cut returns the number of requests by route that have been sent, and the fields of an
// event for each of them, for maxCutEvents at most. leftAt is when the host began to
// leave.
func (s *inProgress) cut(now, leftAt time.Time) (byRoute map[cove.RouteName]int64, events [][]cove.Field) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byRoute = make(map[cove.RouteName]int64)
	for x := range s.exchanges {
		stage := x.stage.Load()
		if stage != stageSent && stage != stageAnswering {
			continue
		}
		byRoute[x.route.Name]++
		if len(events) < maxCutEvents {
			events = append(events, x.cutFields(stage, now, leftAt))
		}
	}
	return byRoute, events
}

func (x *exchange) cutFields(stage int32, now, leftAt time.Time) []cove.Field {
	fields := []cove.Field{
		{Name: "id", Value: x.callerID},
		{Name: "route", Value: string(x.route.Name)},
		{Name: "stage", Value: stageNames[stage]},
		{Name: "age", Value: now.Sub(x.started).String()},
		{Name: "afterStop", Value: x.started.Sub(leftAt).String()},
		{Name: "left", Value: x.deadline.Sub(now).String()},
		{Name: "peer", Value: strconv.FormatBool(x.fromPeer)},
	}
	if t := x.sentTo.Load(); t != nil {
		fields = append(fields, cove.Field{Name: "server", Value: string(t.Server)}, cove.Field{Name: "via", Value: string(t.Host)})
	}
	return fields
}
