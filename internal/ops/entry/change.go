package entry

import (
	"net/http"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/ops/admin"
	"turmericcove.org/cove/internal/state/feed"
	"turmericcove.org/cove/internal/state/keys"
	"turmericcove.org/cove/internal/state/table"
)

// errNoServer means that a pool or backend server is not in the tables.
var errNoServer = errors.New("no such backend server")

// withDrain returns a table in which a backend server's drain mark is set.
func withDrain(t *cove.Table, req admin.DrainRequest) (*cove.Table, error) {
	if t == nil {
		return nil, errNoServer
	}
	i := slices.IndexFunc(t.Pools, func(p cove.Pool) bool { return p.Name == req.Pool })
	if i < 0 {
		return nil, errors.Wrapf(errNoServer, "pool %q", req.Pool)
	}
	j := slices.IndexFunc(t.Pools[i].Servers, func(s cove.Server) bool { return s.ID == req.Server })
	if j < 0 {
		return nil, errors.Wrapf(errNoServer, "%q in pool %q", req.Server, req.Pool)
	}
	out := *t
	out.Pools = slices.Clone(t.Pools)
	out.Pools[i].Servers = slices.Clone(t.Pools[i].Servers)
	out.Pools[i].Servers[j].Draining = req.Drain
	return &out, nil
}

// lines returns the changes, one a line.
func lines(c *table.Changes) []string {
	if c == nil {
		return nil
	}
	text := strings.TrimSpace(c.String())
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}

// failChange answers with the status and the details of a refused change.
func (a *adminService) failChange(w http.ResponseWriter, err error) {
	body := admin.Error{Text: err.Error()}
	status := http.StatusInternalServerError
	var faults table.Faults
	var conflict *feed.ConflictError
	switch {
	case errors.As(err, &faults):
		status = http.StatusUnprocessableEntity
		body.Text = "the tables have faults"
		body.Faults = strings.Split(faults.Error(), "\n")
	case errors.As(err, &conflict):
		status = http.StatusConflict
		body.Current = conflict.Current
		body.Changes = lines(conflict.Changes)
	case errors.Is(err, cove.ErrUnavailable), errors.Is(err, feed.ErrStoreMismatch):
		status = http.StatusServiceUnavailable
	case errors.Is(err, errNoServer), errors.Is(err, keys.ErrNoKey), errors.Is(err, keys.ErrNoTeam):
		status = http.StatusNotFound
	case errors.Is(err, keys.ErrKeyExists), errors.Is(err, feed.ErrNoChange):
		status = http.StatusUnprocessableEntity
	}
	a.write(w, status, body)
}
