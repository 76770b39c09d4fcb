package retry

// Bound is the number of extra attempts that the deployment allows all hosts
// together to send to a pool in a window: requests × Ratio + Slack.
type Bound struct {
	Ratio float64
	Slack float64
}

const (
	// boundFraction is the part of the bound that is used. The rest covers hosts
	// that restart and get their initial attempts again.
	boundFraction = 0.8
	// maxBurst bounds the attempts that one host saves up; more could
	// arrive at once.
	maxBurst = 8.0
)

// PerHost returns the budget of one of hosts. Each earns a part of its own
// requests, and the slack is divided evenly, down to one attempt.
func (b Bound) PerHost(hosts int) BudgetConfig {
	burst := min(max(b.Slack*boundFraction/float64(max(hosts, 1)), 1), maxBurst)
	return BudgetConfig{Ratio: b.Ratio * boundFraction, Burst: burst, Initial: burst / 2}
}
