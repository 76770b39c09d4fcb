// Package peerpb holds the messages and services between entry hosts. It is
// generated from the .proto files beside it by tools/gen.sh.
package peerpb
