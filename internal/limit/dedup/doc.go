// Package dedup runs keyed requests at most once.
//
// A ticket is run only by the incarnation that minted it, from its memory. Any
// other key is claimed by a row in the table service before it runs. A request
// runs only when its claim is certain; a claim whose commit stays open is
// refused and remembered as free, so that it can be used or deleted later.
package dedup
