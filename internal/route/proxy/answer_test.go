package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/bench/server"
)

// checkResult is what a caller can tell about one response.
type checkResult struct {
	crossed, truncated bool
	complete, broken   int
}

// checkResponse checks that a response belongs to the request with the given id
// and is complete.
func checkResponse(resp *http.Response, err error, id string, size int) checkResult {
	if err != nil {
		return checkResult{broken: 1}
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil || resp.StatusCode != http.StatusOK {
		return checkResult{broken: 1}
	}
	return checkResult{
		crossed:   resp.Header.Get("X-Request-Id") != id || !strings.HasPrefix(string(body), id+"."),
		truncated: len(body) < size,
		complete:  1,
	}
}

// Guards against responses to another request, and truncated responses that look
// complete (B3), with 5% each of late, crossed and truncated responses, directly
// and across a hop between entry hosts.
func TestFaultyAnswers(t *testing.T) {
	t.Parallel()
	for _, size := range []int{200, 60_000} {
		for proto, client := range map[string]*http.Client{"HTTP/1.1": newClient(t, 16), "HTTP/2": h2Client(t)} {
			t.Run(fmt.Sprint(size, " ", proto), func(t *testing.T) {
				t.Parallel()
				checkFaultyAnswers(t, client, size)
			})
		}
	}
}

func checkFaultyAnswers(t *testing.T, client *http.Client, size int) {
	faults := server.Faults{Late: 0.05, Crossed: 0.05, Cut: 0.05, LateBy: 30 * time.Millisecond}
	_, targets := newServers(t, 4, server.Config{AnswerBytes: size, Faults: faults, Seed: 7})
	fleet := newFakeFleet()
	newHost(t, "b", fleet, Config{}, targets[2:]...)
	remote := cove.Target{Host: "b", Pool: "main", Domain: "se-west-1"}
	h := newHost(t, "a", fleet, Config{}, targets[0], targets[1], remote, remote)
	var crossed, truncated, complete, broken atomic.Int64
	runWorkers(16, 60, func(i int) {
		path := [...]string{"/orders", "/proofs"}[i%2]
		id := fmt.Sprintf("req-%d", i)
		req, err := http.NewRequest(http.MethodPost, h.url+path, strings.NewReader(id))
		if err != nil {
			panic(err)
		}
		req.Header.Set("Authorization", "Bearer "+testKey)
		req.Header.Set("X-Request-Id", id)
		resp, err := client.Do(req)
		v := checkResponse(resp, err, id, size)
		countIf(&crossed, v.crossed)
		countIf(&truncated, v.truncated)
		complete.Add(int64(v.complete))
		broken.Add(int64(v.broken))
	})
	t.Logf("complete %d, broken %d, counters %v", complete.Load(), broken.Load(), h.meter.Counts())
	if crossed.Load() > 0 || truncated.Load() > 0 {
		t.Errorf("%d crossed and %d truncated responses were delivered as complete", crossed.Load(), truncated.Load())
	}
	if complete.Load() < 720 || broken.Load() == 0 {
		t.Errorf("%d complete and %d broken responses of 960: the faults were not injected", complete.Load(), broken.Load())
	}
}

func countIf(n *atomic.Int64, ok bool) {
	if ok {
		n.Add(1)
	}
}

// runWorkers calls fn with 0 to workers*each-1, from the given number of
// goroutines.
func runWorkers(workers, each int, fn func(i int)) {
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := range each {
				fn(w*each + i)
			}
		})
	}
	wg.Wait()
}

// Checks that checkResponse detects the faults when callers use a backend server
// without the proxy.
func TestFaultyAnswersOracle(t *testing.T) {
	servers, _ := newServers(t, 1, server.Config{AnswerBytes: 200})
	servers[0].Inject(server.Crossed, server.None)
	var crossed, truncated bool
	for _, size := range []int{200, 400} {
		req, err := http.NewRequest(http.MethodGet, "http://"+servers[0].Addr().String()+"/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Request-Id", "req-1")
		resp, err := newClient(t, 1).Do(req)
		v := checkResponse(resp, err, "req-1", size)
		crossed, truncated = crossed || v.crossed, truncated || v.truncated
	}
	if !crossed || !truncated {
		t.Fatalf("crossed %v, truncated %v: not all faults were detected", crossed, truncated)
	}
}
