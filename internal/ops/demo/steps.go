package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/bench/server"
	"turmericcove.org/cove/internal/core/group"
	"turmericcove.org/cove/internal/ops/admin"
)

// script names the requests of a deployment.
type script struct {
	// read is an idempotent path, order a non-idempotent one, open is open to
	// all.
	read, order, open string
	team, other, hot  cove.Team
}

func scriptOf(deployment string) (script, error) {
	switch deployment {
	case "hyllkant":
		return script{
			read: "/jobs/4711", order: "/orders", open: "/opening-hours",
			team: "norrhandel", other: "storkedjan", hot: "lillkop",
		}, nil
	case "hollowbrook":
		return script{
			read: "/diary/today", order: "/bookings", open: "/studios",
			team: "dubhaus", other: "northvoice", hot: "foley-row",
		}, nil
	}
	return script{}, errors.Errorf("unknown deployment %q", deployment)
}

func (s script) teams() []cove.Team { return []cove.Team{s.team, s.other, s.hot} }

// answer is what came back for a request.
type answer struct {
	status   int
	body     string
	reason   cove.Reason
	outcome  cove.Outcome
	replayed bool
}

func (a answer) String() string {
	if a.reason != "" {
		return fmt.Sprintf("%d %s (%s)", a.status, a.reason, a.outcome)
	}
	if a.replayed {
		return fmt.Sprintf("%d replayed", a.status)
	}
	return fmt.Sprint(a.status)
}

func (d *demo) steps(ctx context.Context) error {
	if err := d.giveKeys(ctx); err != nil {
		return err
	}
	for _, step := range []func(context.Context) error{
		d.lookup, d.reads, d.ticketOrder, d.foreignOrder, d.refusals, d.overRate, d.withdraw, d.leaks,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) record(name, want, got string, ok bool) {
	d.results = append(d.results, result{name: name, want: want, got: got, ok: ok})
}

// expect records an answer that must have this status and reason.
func (d *demo) expect(name string, a answer, status int, reason cove.Reason) {
	want := fmt.Sprint(status)
	if reason != "" {
		want += " " + string(reason)
	}
	d.record(name, want, a.String(), a.status == status && a.reason == reason)
}

func (d *demo) send(ctx context.Context, method, url string, header map[string]string, body string) (answer, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return answer{}, errors.Wrap(err, "request")
	}
	for k, v := range header {
		r.Header.Set(k, v)
	}
	resp, err := d.client.Do(r)
	if err != nil {
		return answer{}, errors.Wrap(err, "send")
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}, errors.Wrap(err, "read answer")
	}
	a := answer{status: resp.StatusCode, body: string(b), replayed: resp.Header.Get("Idempotent-Replayed") == "true"}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		var p struct {
			Reason  cove.Reason  `json:"reason"`
			Outcome cove.Outcome `json:"outcome"`
		}
		if err := json.Unmarshal(b, &p); err != nil {
			return answer{}, errors.Wrap(err, "read refusal")
		}
		a.reason, a.outcome = p.Reason, p.Outcome
	}
	return a, nil
}

func (d *demo) auth(team cove.Team) map[string]string {
	return map[string]string{"Authorization": "Bearer " + d.keys[team]}
}

func (d *demo) lookup(ctx context.Context) error {
	a, err := d.send(ctx, http.MethodGet, d.fleet.Hosts[0].URL()+"/.cove/lookup?addr=10.20.0.1", nil, "")
	if err != nil {
		return err
	}
	var l struct {
		Hosts []string `json:"hosts"`
	}
	if err := json.Unmarshal([]byte(a.body), &l); err != nil {
		return errors.Wrap(err, "lookup")
	}
	d.record("look up entry hosts", "a list of hosts", fmt.Sprintf("%d hosts", len(l.Hosts)), a.status == http.StatusOK && len(l.Hosts) > 1)
	return nil
}

func (d *demo) reads(ctx context.Context) error {
	for _, h := range []int{0, len(d.fleet.Hosts) - 1} {
		host := d.fleet.Hosts[h]
		a, err := d.send(ctx, http.MethodGet, host.URL()+d.script.read, d.auth(d.script.team), "")
		if err != nil {
			return err
		}
		d.expect("GET "+d.script.read+" at "+string(host.ID), a, http.StatusOK, "")
	}
	a, err := d.send(ctx, http.MethodGet, d.fleet.Hosts[0].URL()+d.script.open, nil, "")
	if err != nil {
		return err
	}
	d.expect("GET "+d.script.open+" without a key", a, http.StatusOK, "")
	return nil
}

// ticketOrder fetches a ticket from one host and uses it at two others.
func (d *demo) ticketOrder(ctx context.Context) error {
	t, err := d.send(ctx, http.MethodPost, d.fleet.Hosts[0].URL()+"/.cove/ticket", d.auth(d.script.team), "")
	if err != nil {
		return err
	}
	var body struct {
		Ticket string `json:"key"`
	}
	if err := json.Unmarshal([]byte(t.body), &body); err != nil {
		return errors.Wrap(err, "ticket")
	}
	return d.orderTwice(ctx, "ticket", body.Ticket)
}

func (d *demo) foreignOrder(ctx context.Context) error {
	return d.orderTwice(ctx, "own key", "order-2026-11-04711")
}

// orderTwice sends an order and its repeat to different hosts.
func (d *demo) orderTwice(ctx context.Context, kind, key string) error {
	header := d.auth(d.script.team)
	header["Idempotency-Key"] = key
	first, err := d.send(ctx, http.MethodPost, d.fleet.Hosts[1].URL()+d.script.order, header, "2 pallets")
	if err != nil {
		return err
	}
	d.expect("POST "+d.script.order+" with "+kind, first, http.StatusOK, "")
	again, err := d.send(ctx, http.MethodPost, d.fleet.Hosts[2].URL()+d.script.order, header, "2 pallets")
	if err != nil {
		return err
	}
	d.record("  repeated at another host", "the first answer", again.String(), again.replayed && again.body == first.body)
	other, err := d.send(ctx, http.MethodPost, d.fleet.Hosts[2].URL()+d.script.order, header, "3 pallets")
	if err != nil {
		return err
	}
	d.expect("  with another body", other, http.StatusUnprocessableEntity, cove.ReasonKeyReused)
	runs := server.CountRuns(func(run server.Run) string { return run.Key }, d.servers()...)[key]
	d.record("  runs at backend servers", "1", fmt.Sprint(runs), runs == 1)
	return nil
}

func (d *demo) servers() []*server.Server {
	var out []*server.Server
	for _, s := range d.fleet.Servers {
		out = append(out, s)
	}
	return out
}

func (d *demo) refusals(ctx context.Context) error {
	base := d.fleet.Hosts[0].URL()
	for _, c := range []struct {
		name, method, path string
		header             map[string]string
		status             int
		reason             cove.Reason
	}{
		{"GET without a key", http.MethodGet, d.script.read, nil, http.StatusUnauthorized, cove.ReasonNoKey},
		{"GET with a wrong key", http.MethodGet, d.script.read, map[string]string{"Authorization": "Bearer wrong"}, http.StatusUnauthorized, cove.ReasonBadKey},
		{"GET of an unknown path", http.MethodGet, "/nowhere", d.auth(d.script.team), http.StatusNotFound, cove.ReasonNoRoute},
		{"DELETE of a read route", http.MethodDelete, d.script.read, d.auth(d.script.team), http.StatusMethodNotAllowed, cove.ReasonMethod},
	} {
		a, err := d.send(ctx, c.method, base+c.path, c.header, "")
		if err != nil {
			return err
		}
		d.expect(c.name, a, c.status, c.reason)
	}
	return nil
}

// hotRequests is well above the burst of the small team.
const hotRequests = 200

// overRate sends a burst of a small team to one host, while another team goes
// on to be served.
func (d *demo) overRate(ctx context.Context) error {
	var mu sync.Mutex
	counts := map[string]int{}
	var g group.Group
	for range hotRequests {
		g.Go(func(context.Context) error {
			a, err := d.send(ctx, http.MethodGet, d.fleet.Hosts[0].URL()+d.script.read, d.auth(d.script.hot), "")
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			counts[a.String()]++
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	limited := counts[fmt.Sprintf("%d %s (%s)", http.StatusTooManyRequests, cove.ReasonRate, cove.NotRun)]
	d.record("burst of 200 of "+string(d.script.hot), "most 429 rateExceeded", fmt.Sprint(counts), limited > hotRequests/2 && limited < hotRequests)
	a, err := d.send(ctx, http.MethodGet, d.fleet.Hosts[0].URL()+d.script.read, d.auth(d.script.team), "")
	if err != nil {
		return err
	}
	d.expect("  another team meanwhile", a, http.StatusOK, "")
	return nil
}

func (d *demo) withdraw(ctx context.Context) error {
	resp, err := d.fleet.Hosts[0].Admin().WithdrawKey(ctx, admin.KeyRequest{Team: d.script.other, Name: "demo"})
	if err != nil {
		return err
	}
	if err := d.awaitInForce(ctx, resp.Version); err != nil {
		return err
	}
	for _, h := range d.fleet.Hosts[len(d.fleet.Hosts)-2:] {
		a, err := d.send(ctx, http.MethodGet, h.URL()+d.script.read, d.auth(d.script.other), "")
		if err != nil {
			return err
		}
		d.expect("withdrawn key at "+string(h.ID), a, http.StatusUnauthorized, cove.ReasonBadKey)
	}
	return nil
}

// leaks checks that no backend server saw a key of a caller.
func (d *demo) leaks(context.Context) error {
	seen := 0
	for _, s := range d.fleet.Servers {
		seen += len(s.LeakedKeys())
	}
	d.record("keys seen by backend servers", "0", fmt.Sprint(seen), seen == 0)
	return nil
}
