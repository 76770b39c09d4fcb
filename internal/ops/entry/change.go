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

// errNoServer reports that a pool or backend server is not in the tables.
var errNoServer = errors.New("no such backend server")

// withDraining returns a copy of the table in which the backend server is marked
// as draining or not, as requested.
func withDraining(t *cove.Table, req admin.DrainRequest) (*cove.Table, error) {
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

// changeLines returns one line per change.
func changeLines(c *table.Changes) []string {
	if c == nil {
		return nil
	}
	text := strings.TrimSpace(c.String())
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}

// writeChangeError answers with the status and the details of a rejected change.
func (a *adminService) writeChangeError(w http.ResponseWriter, err error) {
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
		body.Changes = changeLines(conflict.Changes)
	case errors.Is(err, cove.ErrUnavailable), errors.Is(err, feed.ErrStoreMismatch):
		status = http.StatusServiceUnavailable
	case errors.Is(err, errNoServer), errors.Is(err, keys.ErrNoKey), errors.Is(err, keys.ErrNoTeam):
		status = http.StatusNotFound
	case errors.Is(err, keys.ErrKeyExists), errors.Is(err, feed.ErrNoChange):
		status = http.StatusUnprocessableEntity
	}
	a.writeJSON(w, status, body)
}
