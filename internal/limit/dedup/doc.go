// Package dedup runs keyed requests at most once.
//
// A key is either a ticket or supplied by the caller. A ticket runs only in the
// host incarnation that minted it, which tracks it in memory. A caller-supplied
// key is claimed by writing a row to the table service before its request runs.
// A request runs only if its claim is known to be committed. If the result of
// the commit is unknown, the request is refused and the key is marked as free,
// so that a row that exists can be reused or deleted later.
package dedup
