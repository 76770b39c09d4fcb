// Package peerpb holds the generated messages between entry hosts.
package peerpb
