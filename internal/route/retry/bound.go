package retry

// Bound is what the deployment allows all hosts together to send again to a
// pool: requests × Ratio + Slack in a window.
type Bound struct {
	Ratio float64
	Slack float64
}

const (
	// boundUse is the part of the bound that is used. Hosts that restart have
	// their saved attempts once more.
	boundUse = 0.8
	// maxSaved bounds what one host saves up; more would come as a wave.
	maxSaved = 8.0
)

// PerHost returns the terms of one of hosts. Each earns a part of its own
// requests, and the slack is divided evenly, down to one attempt.
func (b Bound) PerHost(hosts int) BudgetConfig {
	saved := min(max(b.Slack*boundUse/float64(max(hosts, 1)), 1), maxSaved)
	return BudgetConfig{Ratio: b.Ratio * boundUse, Burst: saved, Initial: saved / 2}
}
