// Package cove defines the shared types and interfaces of turmericcove, a
// global traffic steering system. The implementations are below internal/.
package cove
