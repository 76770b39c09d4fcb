// Package verify checks responses that net/http has parsed. Its parser passes some that
// are not valid HTTP.
package verify

import (
	"net/http"

	"github.com/pkg/errors"
)

// minStatus is the smallest valid status. net/http accepts three characters that form
// any number, such as 099 or +20.
const minStatus = 100

// Response returns an error if the status of a response is not valid.
func Response(resp *http.Response) error {
	if resp.StatusCode < minStatus {
		return errors.Errorf("invalid status %q", resp.Status)
	}
	return nil
}
