package entry

import (
	_ "embed"
	"net/http"
)

//go:embed page.html
var statusPage []byte

// servePage serves the read-only status page.
func servePage(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'; connect-src 'self'")
	// Write fails only when the client has disconnected.
	_, _ = w.Write(statusPage)
}
