// Package audit writes what was decided about requests, without ever holding one
// up: lines go through a bounded buffer, served requests are sampled, and each
// reason of a failure has its own rate. What is left out is counted.
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
	// sampleEvery is the share of served requests that are logged, chosen by
	// their ids, so that all attempts and hosts choose the same ones.
	sampleEvery = 64
	// reasonRate is how many requests of one reason are logged each second at
	// most. Ten make a pattern plain, and twenty reasons at once are 200 lines.
	reasonRate = 10
	// bufferSize is how many records wait for the writer. More are dropped.
	bufferSize = 512
)

// Step is one decision about a request.
type Step struct {
	// After is the time since the request arrived.
	After cove.Duration `json:"after"`
	// Decision is what was done: placed, retried, limited.
	Decision string `json:"decision"`
	// Why is the verdict or the reason.
	Why    string        `json:"why,omitempty"`
	Server cove.ServerID `json:"server,omitempty"`
	// Load is the expected load of the server, from a report of age LoadAge.
	Load    float64       `json:"load,omitempty"`
	LoadAge cove.Duration `json:"loadAge,omitempty"`
	// Finish is the expected time until the answer, Left the time until the
	// deadline.
	Finish cove.Duration `json:"finish,omitempty"`
	Left   cove.Duration `json:"left,omitempty"`
	// Result is what came of it.
	Result string `json:"result,omitempty"`
}

// Record is the story of one request on one host.
type Record struct {
	Time  time.Time      `json:"time"`
	Msg   string         `json:"msg"`
	Host  cove.HostID    `json:"host"`
	ID    string         `json:"id"`
	Route cove.RouteName `json:"route,omitempty"`
	Team  cove.Team      `json:"team,omitempty"`
	// Tables is the version of the tables that decided.
	Tables cove.Version  `json:"tables,omitempty"`
	Status int           `json:"status"`
	Reason cove.Reason   `json:"reason,omitempty"`
	Detail string        `json:"detail,omitempty"`
	Took   cove.Duration `json:"took"`
	Steps  []Step        `json:"steps,omitempty"`
}

// Msg is the message of all records.
const Msg = "request.ended"

// Log writes records. Out, Host, Clock and Counters must be set.
type Log struct {
	Out      io.Writer
	Host     cove.HostID
	Clock    cove.Clock
	Counters cove.Counters

	once    sync.Once
	records chan *Record
	tasks   *group.Group

	mu      sync.Mutex
	second  time.Time
	reasons map[cove.Reason]int
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
	l.tasks.Go(l.write)
	return nil
}

// Stop implements cove.Service. What is buffered is written.
func (l *Log) Stop(ctx context.Context) error {
	err := l.tasks.Stop(ctx)
	for {
		select {
		case r := <-l.records:
			l.put(r)
		default:
			return err
		}
	}
}

func (l *Log) write(ctx context.Context) error {
	for {
		select {
		case r := <-l.records:
			l.put(r)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *Log) put(r *Record) {
	data, err := json.Marshal(r)
	if err == nil {
		_, err = l.Out.Write(append(data, '\n'))
	}
	if err != nil {
		l.Counters.Add("audit.writeFailed", 1)
	}
}

// ShouldLog reports whether a request that ended so is to be logged.
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
	if l.reasons == nil || now.Sub(l.second) >= time.Second {
		l.second = now
		l.reasons = make(map[cove.Reason]int)
	}
	l.reasons[reason]++
	if l.reasons[reason] > reasonRate {
		l.Counters.Add("audit.leftOut."+string(reason), 1)
		return false
	}
	return true
}

// Enqueue hands a record to the writer. It never waits.
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
