// Package audit logs how requests were handled, one JSON record each, without
// blocking them: records go through a bounded buffer, served requests are
// sampled, and each refusal reason has a rate limit. Records that are not
// written are counted.
package audit

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/group"
)

const (
	// sampleEvery is the sampling interval of served requests: 1 in 64 is
	// logged. They are chosen by a hash of the request ID, so that all hosts
	// and attempts choose the same ones.
	sampleEvery = 64
	// maxPerReasonPerSecond limits the records per refusal reason. Ten a second
	// are enough to show a pattern, and 20 reasons at once make 200 lines.
	maxPerReasonPerSecond = 10
	// bufferSize is the number of records that wait for the writer. Further
	// records are dropped.
	bufferSize = 512
)

// Step is one decision about a request.
type Step struct {
	// After is the time since the request arrived.
	After cove.Duration `json:"after"`
	// Decision is the action taken: placed, retried or limited.
	Decision string `json:"decision"`
	// Why is the reason for the decision.
	Why    string        `json:"why,omitempty"`
	Server cove.ServerID `json:"server,omitempty"`
	// Load is the estimated load of the server, based on a report of age
	// LoadAge.
	Load    float64       `json:"load,omitempty"`
	LoadAge cove.Duration `json:"loadAge,omitempty"`
	// Finish is the estimated time until the response, Left the time until
	// the deadline.
	Finish cove.Duration `json:"finish,omitempty"`
	Left   cove.Duration `json:"left,omitempty"`
	// Result is the outcome of the step.
	Result string `json:"result,omitempty"`
}

// Record describes how one host handled one request.
type Record struct {
	Time  time.Time      `json:"time"`
	Msg   string         `json:"msg"`
	Host  cove.HostID    `json:"host"`
	ID    string         `json:"id"`
	Route cove.RouteName `json:"route,omitempty"`
	Team  cove.Team      `json:"team,omitempty"`
	// Tables is the version of the tables that the request was handled with.
	Tables cove.Version  `json:"tables,omitempty"`
	Status int           `json:"status"`
	Reason cove.Reason   `json:"reason,omitempty"`
	Detail string        `json:"detail,omitempty"`
	Took   cove.Duration `json:"took"`
	Steps  []Step        `json:"steps,omitempty"`
}

// Msg is the value of Record.Msg in all records.
const Msg = "request.ended"

// Log writes records to Out. Out, Host, Clock and Counters must be set.
type Log struct {
	Out      io.Writer
	Host     cove.HostID
	Clock    cove.Clock
	Counters cove.Counters

	once    sync.Once
	records chan *Record
	tasks   *group.Group

	mu            sync.Mutex
	windowStart   time.Time
	countByReason map[cove.Reason]int
}

var _ cove.Service = (*Log)(nil)

// Name implements cove.Service.
func (l *Log) Name() string { return "audit" }

func (l *Log) init() {
	l.once.Do(func() { l.records = make(chan *Record, bufferSize) })
}

// Start implements cove.Service.
func (l *Log) Start(context.Context) error {
	l.init()
	l.tasks = group.New(context.Background())
	l.tasks.Go(l.writeLoop)
	return nil
}

// Stop implements cove.Service. It writes the buffered records.
func (l *Log) Stop(ctx context.Context) error {
	err := l.tasks.Stop(ctx)
	for {
		select {
		case r := <-l.records:
			l.writeRecord(r)
		default:
			return err
		}
	}
}

func (l *Log) writeLoop(ctx context.Context) error {
	for {
		select {
		case r := <-l.records:
			l.writeRecord(r)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *Log) writeRecord(r *Record) {
	data, err := json.Marshal(r)
	if err == nil {
		_, err = l.Out.Write(append(data, '\n'))
	}
	if err != nil {
		l.Counters.Add("audit.writeFailed", 1)
	}
}

// ShouldLog reports whether to log a request that ended with the given refusal
// reason; an empty reason means that it was served. A nil Log logs nothing.
func (l *Log) ShouldLog(id string, reason cove.Reason) bool {
	if l == nil {
		return false
	}
	if reason == "" {
		return xxhash.Sum64String(id)%sampleEvery == 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	if l.countByReason == nil || now.Sub(l.windowStart) >= time.Second {
		l.windowStart = now
		l.countByReason = make(map[cove.Reason]int)
	}
	l.countByReason[reason]++
	if l.countByReason[reason] > maxPerReasonPerSecond {
		l.Counters.Add("audit.leftOut."+string(reason), 1)
		return false
	}
	return true
}

// Enqueue passes a record to the writer. It never blocks: when the buffer is
// full, the record is dropped.
func (l *Log) Enqueue(r *Record) {
	l.init()
	r.Time, r.Msg, r.Host = l.Clock.Now(), Msg, l.Host
	select {
	case l.records <- r:
		l.Counters.Add("audit.written", 1)
	default:
		l.Counters.Add("audit.dropped", 1)
	}
}
