// Package once runs requests with an idempotency key at most once.
//
// The ledger is not built yet: every request with a key is refused with outcome
// not-run.
package once

import (
	"context"
	"net/http"

	"turmericcove.org/cove"
)

// Config holds what a Service depends on.
type Config struct {
	Self     cove.Self
	Clock    cove.Clock
	Store    cove.TableStore
	Members  cove.Members
	Counters cove.Counters
	Events   cove.Events
}

// Service implements cove.Ledger.
type Service struct{}

var _ cove.Ledger = (*Service)(nil)

// New returns a ledger.
func New(Config) *Service { return new(Service) }

// Name implements cove.Service.
func (*Service) Name() string { return "once" }

// Start implements cove.Service.
func (*Service) Start(context.Context) error { return nil }

// Stop implements cove.Service.
func (*Service) Stop(context.Context) error { return nil }

// Ticket implements cove.Ledger.
func (*Service) Ticket(cove.Team) string { return "" }

// Begin implements cove.Ledger.
func (*Service) Begin(context.Context, cove.KeyedRequest) (cove.Claim, error) {
	return cove.Claim{}, cove.Refuse(http.StatusServiceUnavailable, cove.ReasonClaimUnavailable, "idempotency keys are not supported yet")
}
