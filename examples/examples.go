// Package examples holds the tables and settings that ship with turmericcove.
package examples

import "embed"

// Files holds a folder for each deployment.
//
//go:embed hyllkant hollowbrook
var Files embed.FS

// Deployments returns the names of the deployments.
func Deployments() []string { return []string{"hyllkant", "hollowbrook"} }
