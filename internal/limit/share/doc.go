// Package share divides the rate and burst of each team between the hosts of
// the fleet, so that all hosts together never admit more than the limit.
//
// Three levels of bounds add up to the whole limit at every moment. The row
// share/domains holds the fraction of each failure domain. The row
// domain/<domain> holds the parts of its registered hosts. Hosts lend each
// other quota out of their parts. On each level the giver stops using quota
// before anyone else may start: a bound in a row is lowered only after the host
// has confirmed the lower one, or when its lease has ended, and raised only by
// a transaction that sees the sum.
package share
