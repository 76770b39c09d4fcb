package entry

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/group"
	"turmericcove.org/cove/internal/limit/share"
	"turmericcove.org/cove/internal/ops/admin"
	"turmericcove.org/cove/internal/state/feed"
	"turmericcove.org/cove/internal/state/keys"
	"turmericcove.org/cove/internal/state/table"
)

const (
	adminHeaderTimeout = 5 * time.Second
	// maxAdminBodyBytes limits a request body, the largest of which is a table: one
	// with 480,000 client blocks takes about 40 MB.
	maxAdminBodyBytes = table.MaxFileBytes
)

// adminService serves the admin port, which is for operators.
type adminService struct {
	d      *Daemon
	tasks  group.Group
	server *http.Server
	ln     net.Listener
}

// Name implements cove.Service.
func (a *adminService) Name() string { return "admin" }

// Start opens the port.
func (a *adminService) Start(ctx context.Context) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", a.d.Settings.Admin.Listen.String())
	if err != nil {
		return errors.Wrap(err, "listen on admin port")
	}
	a.ln = ln
	a.server = &http.Server{Handler: a.handler(), ReadHeaderTimeout: adminHeaderTimeout}
	a.tasks.Go(func(context.Context) error {
		if err := a.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "admin port")
		}
		return nil
	})
	return nil
}

// Stop closes the port.
func (a *adminService) Stop(ctx context.Context) error {
	if err := a.server.Close(); err != nil {
		return errors.Wrap(err, "close admin port")
	}
	return a.tasks.Stop(ctx)
}

func (a *adminService) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+admin.PathTable, a.getTable)
	mux.HandleFunc("POST "+admin.PathTable, a.apply)
	mux.HandleFunc("GET "+admin.PathHistory, a.history)
	mux.HandleFunc("POST "+admin.PathRestore, a.restore)
	mux.HandleFunc("POST "+admin.PathRepair, a.repair)
	mux.HandleFunc("POST "+admin.PathKeys, a.giveKey)
	mux.HandleFunc("DELETE "+admin.PathKeys, a.withdrawKey)
	mux.HandleFunc("POST "+admin.PathDrain, a.drain)
	mux.HandleFunc("POST "+admin.PathLeave, a.leave)
	mux.HandleFunc("POST "+admin.PathRemove, a.remove)
	mux.HandleFunc("GET "+admin.PathInForce, a.inForce)
	mux.HandleFunc("GET "+admin.PathStatus, a.status)
	mux.HandleFunc("POST "+admin.PathExplain, a.explain)
	mux.HandleFunc("GET "+admin.PathEvents, a.events)
	mux.HandleFunc("GET "+admin.PathHealth, a.healthz)
	mux.HandleFunc("GET "+admin.PathReady, a.readyz)
	mux.Handle("GET "+admin.PathMetrics, a.metrics())
	mux.HandleFunc("GET /{$}", servePage)
	return mux
}

// metrics serves the counters in the Prometheus format, or as JSON for
// ?format=json.
func (a *adminService) metrics() http.Handler {
	reg := prometheus.NewRegistry()
	reg.MustRegister(a.d.meter, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	prom := promhttp.HandlerFor(reg, promhttp.HandlerOpts{})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("format") != "json" {
			prom.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := a.d.meter.WriteJSON(w); err != nil {
			a.d.meter.Add("admin.writeFailed", 1)
		}
	})
}

func (a *adminService) healthz(w http.ResponseWriter, _ *http.Request) {
	a.writeJSON(w, http.StatusOK, map[string]string{"status": "ok"})
}

func (a *adminService) readyz(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	if !a.d.Ready() {
		status = http.StatusServiceUnavailable
	}
	a.writeJSON(w, status, map[string]bool{"ready": a.d.Ready(), "table": a.d.feed.Ready(), "leaving": a.d.leaving.Load()})
}

func (a *adminService) getTable(w http.ResponseWriter, _ *http.Request) {
	t := a.d.feed.Current()
	if t == nil {
		t = new(cove.Table)
	}
	a.writeJSON(w, http.StatusOK, t)
}

func (a *adminService) apply(w http.ResponseWriter, r *http.Request) {
	var req admin.ApplyRequest
	if !a.readJSON(w, r, &req) {
		return
	}
	if req.Table == nil {
		a.writeError(w, http.StatusBadRequest, errors.New("the request carries no table"))
		return
	}
	if req.DryRun {
		a.dryRun(w, req)
		return
	}
	res, err := a.d.feed.Apply(r.Context(), req.Base, req.Table, a.commitMeta("apply"))
	a.writeCommitResult(w, res, err)
}

// dryRun validates the table and answers what it would change.
func (a *adminService) dryRun(w http.ResponseWriter, req admin.ApplyRequest) {
	next := table.Normalize(req.Table)
	if err := table.Validate(next); err != nil {
		a.writeChangeError(w, err)
		return
	}
	changes := table.Diff(a.d.feed.Current(), next)
	a.writeJSON(w, http.StatusOK, admin.ApplyResponse{Version: a.d.Version(), Changes: changeLines(changes)})
}

func (a *adminService) history(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit < 1 {
		a.writeError(w, http.StatusBadRequest, errors.New("limit must be a positive number"))
		return
	}
	entries, err := a.d.feed.History(r.Context(), limit)
	if err != nil {
		a.writeChangeError(w, err)
		return
	}
	out := make([]admin.Commit, 0, len(entries))
	for _, e := range entries {
		out = append(out, admin.Commit{
			Version: e.Version, Time: e.Time, Author: e.Author, Reason: e.Reason, Changes: changeLines(e.Changes),
		})
	}
	a.writeJSON(w, http.StatusOK, out)
}

func (a *adminService) restore(w http.ResponseWriter, r *http.Request) {
	v, ok := a.parseVersion(w, r)
	if !ok {
		return
	}
	reason := "restore the newest snapshot"
	if v > 0 {
		reason = "restore version " + strconv.FormatUint(uint64(v), 10)
	}
	res, err := a.d.feed.Restore(r.Context(), v, a.commitMeta(reason))
	a.writeCommitResult(w, res, err)
}

func (a *adminService) repair(w http.ResponseWriter, r *http.Request) {
	if err := a.d.feed.Repair(r.Context()); err != nil {
		a.writeChangeError(w, err)
		return
	}
	a.writeJSON(w, http.StatusOK, admin.ApplyResponse{Version: a.d.Version()})
}

func (a *adminService) giveKey(w http.ResponseWriter, r *http.Request) {
	var req admin.KeyRequest
	if !a.readJSON(w, r, &req) {
		return
	}
	key, res, err := keys.Give(r.Context(), a.d.feed, req.Team, req.Name, a.author())
	if err != nil {
		a.writeChangeError(w, err)
		return
	}
	a.writeJSON(w, http.StatusOK, admin.KeyResponse{Version: res.Version, Key: key})
}

func (a *adminService) withdrawKey(w http.ResponseWriter, r *http.Request) {
	var req admin.KeyRequest
	if !a.readJSON(w, r, &req) {
		return
	}
	res, err := keys.Withdraw(r.Context(), a.d.feed, req.Team, req.Name, a.author())
	if err != nil {
		a.writeChangeError(w, err)
		return
	}
	a.writeJSON(w, http.StatusOK, admin.KeyResponse{Version: res.Version})
}

func (a *adminService) drain(w http.ResponseWriter, r *http.Request) {
	var req admin.DrainRequest
	if !a.readJSON(w, r, &req) {
		return
	}
	res, err := a.d.feed.Update(r.Context(), a.commitMeta("drain"), func(t *cove.Table) (*cove.Table, error) {
		return withDraining(t, req)
	})
	a.writeCommitResult(w, res, err)
}

func (a *adminService) leave(w http.ResponseWriter, _ *http.Request) {
	select {
	case a.d.leaveRequested <- struct{}{}:
	default:
	}
	a.writeJSON(w, http.StatusAccepted, struct{}{})
}

func (a *adminService) remove(w http.ResponseWriter, r *http.Request) {
	var req admin.RemoveRequest
	if !a.readJSON(w, r, &req) {
		return
	}
	if err := share.RemoveHost(r.Context(), a.d.store, a.d.commitToken(), req.Domain, req.Host); err != nil {
		a.writeChangeError(w, err)
		return
	}
	a.writeJSON(w, http.StatusOK, struct{}{})
}

func (a *adminService) inForce(w http.ResponseWriter, r *http.Request) {
	v, ok := a.parseVersion(w, r)
	if !ok {
		return
	}
	c := a.d.feed.InForce(v)
	a.writeJSON(w, http.StatusOK, admin.InForce{Version: c.Version, Confirmed: c.Confirmed, Missing: c.Missing})
}

// parseVersion returns the version in the query, or answers with an error if it is
// not a number.
func (a *adminService) parseVersion(w http.ResponseWriter, r *http.Request) (cove.Version, bool) {
	v, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		a.writeError(w, http.StatusBadRequest, errors.Wrap(err, "version"))
		return 0, false
	}
	return cove.Version(v), true
}

func (a *adminService) commitMeta(reason string) feed.Meta {
	return feed.Meta{Author: a.author(), Reason: reason}
}

// author returns the host that received the change, since the admin port has no
// login that would identify the operator.
func (a *adminService) author() string { return "operator at " + string(a.d.Self.ID) }

func (a *adminService) writeCommitResult(w http.ResponseWriter, res feed.Result, err error) {
	if err != nil {
		a.writeChangeError(w, err)
		return
	}
	a.writeJSON(w, http.StatusOK, admin.ApplyResponse{Version: res.Version, Changes: changeLines(res.Changes)})
}

// readJSON decodes the request body into v, or answers with an error.
func (a *adminService) readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		a.writeError(w, http.StatusBadRequest, errors.Wrap(err, "request body"))
		return false
	}
	return true
}

func (a *adminService) writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		a.d.meter.Add("admin.writeFailed", 1)
	}
}

func (a *adminService) writeError(w http.ResponseWriter, status int, err error) {
	a.writeJSON(w, status, admin.Error{Text: err.Error()})
}
