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

// verdict is what a caller can tell of one response.
type verdict struct {
	crossed, truncated bool
	complete, broken   int
}

// inspect compares a response with the request that it should answer.
func inspect(resp *http.Response, err error, id string, size int) verdict {
	if err != nil {
		return verdict{broken: 1}
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil || resp.StatusCode != http.StatusOK {
		return verdict{broken: 1}
	}
	return verdict{
		crossed:   resp.Header.Get("X-Request-Id") != id || !strings.HasPrefix(string(body), id+"."),
		truncated: len(body) < size,
		complete:  1,
	}
}

// Guards against answers of another request, and parts of answers that look
// complete (B3), with 5% each of late, crossed and cut answers, directly and
// across a hop between entry hosts.
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
	_, targets := newServers(t, 4, server.Config{MinAnswerBytes: size, Faults: faults, Seed: 7})
	fleet := newFakeFleet()
	newHost(t, "b", fleet, Config{}, targets[2:]...)
	away := cove.Target{Host: "b", Pool: "main", Domain: "se-west-1"}
	h := newHost(t, "a", fleet, Config{}, targets[0], targets[1], away, away)
	var crossed, truncated, complete, broken atomic.Int64
	eachOf(16, 60, func(i int) {
		path := [...]string{"/orders", "/proofs"}[i%2]
		id := fmt.Sprintf("req-%d", i)
		req, err := http.NewRequest(http.MethodPost, h.url+path, strings.NewReader(id))
		if err != nil {
			panic(err)
		}
		req.Header.Set("Authorization", "Bearer "+testKey)
		req.Header.Set("X-Request-Id", id)
		resp, err := client.Do(req)
		v := inspect(resp, err, id, size)
		count(&crossed, v.crossed)
		count(&truncated, v.truncated)
		complete.Add(int64(v.complete))
		broken.Add(int64(v.broken))
	})
	t.Logf("complete %d, broken %d, counters %v", complete.Load(), broken.Load(), h.meter.Counts())
	if crossed.Load() > 0 || truncated.Load() > 0 {
		t.Errorf("%d crossed and %d truncated answers were passed as whole", crossed.Load(), truncated.Load())
	}
	if complete.Load() < 720 || broken.Load() == 0 {
		t.Errorf("%d complete and %d broken answers of 960: the faults did not take place", complete.Load(), broken.Load())
	}
}

func count(n *atomic.Int64, ok bool) {
	if ok {
		n.Add(1)
	}
}

// eachOf calls fn with 0 to workers*each-1 from that many goroutines.
func eachOf(workers, each int, fn func(i int)) {
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

// Shows that the check of TestFaultyAnswers notices the faults when callers use
// a backend server without the proxy.
func TestFaultyAnswersOracle(t *testing.T) {
	servers, _ := newServers(t, 1, server.Config{MinAnswerBytes: 200})
	servers[0].Inject(server.Crossed, server.None)
	var crossed, truncated bool
	for _, size := range []int{200, 400} {
		req, err := http.NewRequest(http.MethodGet, "http://"+servers[0].Addr().String()+"/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Request-Id", "req-1")
		resp, err := newClient(t, 1).Do(req)
		v := inspect(resp, err, "req-1", size)
		crossed, truncated = crossed || v.crossed, truncated || v.truncated
	}
	if !crossed || !truncated {
		t.Fatalf("crossed %v, truncated %v: the check is blind", crossed, truncated)
	}
}
