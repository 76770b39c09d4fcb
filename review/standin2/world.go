package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"turmericcove.org/cove/internal/core/group"
)

// world is a deployment with its stand-ins.
type world struct {
	program string
	dir     string
	out     *os.File
	began   time.Time
	tasks   *group.Group
	// net0, net1 are the second and third byte of all addresses.
	net0, net1 byte
	store      *store
	hosts      []*host
	workers    []*worker

	mu sync.Mutex
	// attempts holds the attempts of clients by request id.
	attempts map[string]*attempt
	nextID   uint64
}

// Ports of an entry host, the store and the workers.
const (
	frontPort     = 8206
	readyPort     = 8201
	directoryPort = 8209
	firstPeerPort = 7600
	lastPeerPort  = 7615
	metricsPort   = 9464
	storePort     = 8205
	workerPort    = 9000
)

// Last bytes of the addresses.
const (
	storeByte   = 1
	hostByte    = 10
	workerByte  = 100
	networkTry  = 200
	firstNet    = 16
	netsPerByte = 200
)

// newWorld finds a free loopback network and starts the store.
func newWorld(ctx context.Context, program, dir, record string) (*world, error) {
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{program: program, dir: dir, out: out, began: time.Now(), tasks: group.New(ctx), attempts: make(map[string]*attempt)}
	for i := range networkTry {
		n := os.Getpid() + i
		w.net0, w.net1 = byte(firstNet+n/netsPerByte%netsPerByte), byte(1+n%netsPerByte)
		ln, err := net.Listen("tcp", w.addr(storeByte, storePort).String())
		if err != nil {
			continue
		}
		w.store = newStore(w, ln)
		return w, nil
	}
	return nil, fmt.Errorf("no free loopback network")
}

// addr returns an address of the world's network.
func (w *world) addr(last byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, w.net0, w.net1, last}), port)
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(w.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.out.WriteString(line)
}

// close ends all processes and stand-ins.
func (w *world) close() {
	kill(w.hosts)
	w.tasks.Cancel()
	for _, s := range w.workers {
		s.close()
	}
	w.store.close()
	_ = w.tasks.Wait()
	_ = w.out.Close()
}

// sleep waits until a time after began.
func sleepUntil(ctx context.Context, at time.Time) error {
	select {
	case <-time.After(time.Until(at)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// write writes a row as the operator or a worker does.
func (w *world) write(table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	w.store.set(table, key, base64.StdEncoding.EncodeToString(data))
	return nil
}

// zones of the deployment with their regions.
var zones = []struct{ name, region string }{
	{"digbeth", "west-mids"}, {"narborough", "east-mids"}, {"ludlow", "marches"},
	{"jewellery-q", "west-mids"}, {"belgrave", "east-mids"}, {"leominster", "marches"},
}

// table is a list in the platform's format.
type table struct {
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
}

const (
	apiKey   = "9anu6wsjnbanfqasnmgk"
	hostName = "jepu9.example"
	// lookPrefix is the prefix of a safe route, bookPrefix that of an unsafe one.
	lookPrefix = "/look/"
	bookPrefix = "/book/"
	service    = "huvo11a"
)

// configuration returns a configuration with a safe and an unsafe route to one service.
func configuration(version uint32) map[string]any {
	return map[string]any{
		"version": fmt.Sprintf("%08x", version),
		"routes": table{
			Columns: []string{"name", "host", "prefix", "kind", "timeout", "goal", "priority", "trafficSplit", "attempts", "public", "sticky", "homeRegions", "service"},
			Rows: [][]any{
				{"r-look", hostName, lookPrefix, "safe", "1200ms", "400ms", 2, nil, 2, false, true, []string{}, service},
				{"r-book", hostName, bookPrefix, "unsafe", "1200ms", "600ms", 1, nil, 2, false, true, []string{}, service},
			},
		},
		"services": table{
			Columns: []string{"name", "healthPath", "maxConns", "protocol", "tls", "coldStart", "coldPerS"},
			Rows:    [][]any{{service, "/health", 390, "h1", false, "3s", 8.8}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"tenants": table{
			Columns: []string{"name", "apiKeys", "priority", "ratePerS", "burst", "homeRegions"},
			Rows:    [][]any{{"sese880", []string{apiKey}, 1, 600, 600, []string{}}},
		},
	}
}
