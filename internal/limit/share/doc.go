// Package share divides the rate and burst limits of each team among the hosts
// of the fleet, so that all hosts together never admit more than the limit.
//
// The division has three levels. The row share/domains holds the fraction of
// each failure domain. The row domain/<domain> holds the parts of its
// registered hosts. Hosts lend each other quota out of their parts. On each
// level the bounds add up to at most the limit at every moment: the giver stops
// using quota before another may start. A bound in a row is lowered only after
// the host has confirmed the lower value or its lease has ended, and raised
// only by a transaction that checks the sum.
package share
