// Package cove holds the shared types and the interfaces of turmericcove, a
// global traffic steering system. Implementations are below internal/.
package cove
