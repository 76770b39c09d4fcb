package cove

import (
	"fmt"
	"time"
)

// Outcome tells a caller whether a refused request may have run.
type Outcome string

const (
	// NotRun means that certainly no backend server has processed the request.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Reason is the stable identifier of a refusal. Each has a counter.
type Reason string

// Reasons of refusals.
const (
	ReasonNoTable          Reason = "noTable"
	ReasonNoRoute          Reason = "noRoute"
	ReasonMethod           Reason = "methodNotAllowed"
	ReasonBadRequest       Reason = "badRequest"
	ReasonUpgrade          Reason = "upgradeUnsupported"
	ReasonHeaderSize       Reason = "headerTooLarge"
	ReasonBodySize         Reason = "bodyTooLarge"
	ReasonNoKey            Reason = "noKey"
	ReasonBadKey           Reason = "badKey"
	ReasonKeyGuessing      Reason = "keyGuessing"
	ReasonTeamRoute        Reason = "teamNotOnRoute"
	ReasonStaleKeys        Reason = "staleKeys"
	ReasonRate             Reason = "rateExceeded"
	ReasonQueueFull        Reason = "queueFull"
	ReasonDeadline         Reason = "deadline"
	ReasonNoServer         Reason = "noServer"
	ReasonNoRoom           Reason = "noRoom"
	ReasonShiftCap         Reason = "shiftCap"
	ReasonLinkFull         Reason = "linkFull"
	ReasonHostLimit        Reason = "hostLimit"
	ReasonHostMemory       Reason = "hostMemory"
	ReasonStopping         Reason = "stopping"
	ReasonClaimUnavailable Reason = "claimUnavailable"
	ReasonKeyReused        Reason = "idempotencyKeyReused"
	ReasonOwnerGone        Reason = "ownerGone"
	ReasonAnswerDropped    Reason = "answerNotKept"
	ReasonServerFailed     Reason = "serverFailed"
	ReasonServerSilent     Reason = "serverSilent"
	ReasonCrossedAnswer    Reason = "crossedAnswer"
	ReasonPeer             Reason = "peerFailed"
	ReasonPaused           Reason = "paused"
	ReasonCrashesServers   Reason = "crashesServers"
	ReasonIsolated         Reason = "isolated"
	ReasonInternal         Reason = "internalError"
)

// RetryReason is the stable identifier of the reason for another attempt. Each
// has a counter.
type RetryReason string

// Reasons of retries.
const (
	RetryConnect    RetryReason = "connectFailed"
	RetryShed       RetryReason = "shed"
	RetryDraining   RetryReason = "draining"
	RetrySilent     RetryReason = "silent"
	RetryBroken     RetryReason = "broken"
	RetryCrossed    RetryReason = "crossed"
	RetryServerFail RetryReason = "serverError"
	RetryNoRoom     RetryReason = "noRoom"
	RetryShiftCap   RetryReason = "shiftCap"
	RetryHedge      RetryReason = "hedge"
)

// Refusal is the error of a request that gets no response from a backend server.
type Refusal struct {
	Status     int
	Reason     Reason
	Outcome    Outcome
	Detail     string
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused (%s, %s): %s", r.Reason, r.Outcome, r.Detail)
}

// Refuse returns a refusal of a request that certainly did not run.
func Refuse(status int, reason Reason, detail string) *Refusal {
	return &Refusal{Status: status, Reason: reason, Outcome: NotRun, Detail: detail}
}
