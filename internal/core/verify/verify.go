// Package verify checks responses that net/http has parsed. Its parser passes some that
// are not valid HTTP.
package verify

import (
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// minStatus is the smallest valid status. net/http accepts three characters that form
// any number, such as 099 or +20.
const minStatus = 100

// Response returns an error if the status of a response or the name of a field is not
// valid. The fields of the trailer are known once the body has been read.
func Response(resp *http.Response) error {
	if resp.StatusCode < minStatus {
		return errors.Errorf("invalid status %q", resp.Status)
	}
	if err := names(resp.Header); err != nil {
		return err
	}
	return names(resp.Trailer)
}

// names checks the names of fields. net/http accepts blanks in them, and does not use
// such a field for the framing of the body.
func names(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Errorf("invalid field name %q", name)
		}
	}
	return nil
}
