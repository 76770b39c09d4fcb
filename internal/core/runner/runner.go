// Package runner starts the services of a daemon in order and stops them in
// reverse order.
package runner

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// Runner starts and stops services. The zero value is ready to use.
type Runner struct {
	mu       sync.Mutex
	services []cove.Service
	started  int
}

// Add registers a service. Services start in the order in which they are added.
func (r *Runner) Add(s cove.Service) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, other := range r.services {
		if other.Name() == s.Name() {
			return errors.Errorf("service %q is already registered", s.Name())
		}
	}
	r.services = append(r.services, s)
	return nil
}

// Find returns the service with that name as a T.
func Find[T any](r *Runner, name string) (T, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var zero T
	for _, s := range r.services {
		if s.Name() != name {
			continue
		}
		v, ok := s.(T)
		if !ok {
			return zero, errors.Errorf("service %q is a %T, not a %T", name, s, zero)
		}
		return v, nil
	}
	return zero, errors.Errorf("no service %q", name)
}

// Start starts all services. If one fails, it stops those started before.
func (r *Runner) Start(ctx context.Context) error {
	for _, s := range r.list() {
		if err := s.Start(ctx); err != nil {
			err = errors.Wrapf(err, "start %s", s.Name())
			if stopErr := r.Stop(ctx); stopErr != nil {
				return errors.Wrapf(err, "and stop: %v", stopErr)
			}
			return err
		}
		r.addStarted(1)
	}
	return nil
}

// Stop stops the started services in reverse order and returns the first error.
func (r *Runner) Stop(ctx context.Context) error {
	var firstErr error
	services := r.list()
	for r.addStarted(0) > 0 {
		s := services[r.addStarted(-1)]
		if err := s.Stop(ctx); err != nil && firstErr == nil {
			firstErr = errors.Wrapf(err, "stop %s", s.Name())
		}
	}
	return firstErr
}

func (r *Runner) list() []cove.Service {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]cove.Service(nil), r.services...)
}

func (r *Runner) addStarted(delta int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started += delta
	return r.started
}
