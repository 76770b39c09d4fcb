//go:build !linux

package peer

import "syscall"

// setUserTimeout does nothing, because only Linux has a TCP user timeout.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
