// Package runner starts the services of a daemon, lets them find each other by
// name and stops them in reverse order.
package runner

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// Kernel holds services. The zero value is ready to use.
type Kernel struct {
	mu       sync.Mutex
	services []cove.Service
	started  int
}

// Add registers a service. Services start in the order in which they are added.
func (k *Kernel) Add(s cove.Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, other := range k.services {
		if other.Name() == s.Name() {
			return errors.Errorf("service %q is already registered", s.Name())
		}
	}
	k.services = append(k.services, s)
	return nil
}

// Find returns the service of that name as a T.
func Find[T any](k *Kernel, name string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var zero T
	for _, s := range k.services {
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

// Start starts all services. If one fails, those before it are stopped.
func (k *Kernel) Start(ctx context.Context) error {
	for _, s := range k.list() {
		if err := s.Start(ctx); err != nil {
			err = errors.Wrapf(err, "start %s", s.Name())
			if stopErr := k.Stop(ctx); stopErr != nil {
				return errors.Wrapf(err, "and stop: %v", stopErr)
			}
			return err
		}
		k.setStarted(1)
	}
	return nil
}

// Stop stops the started services in reverse order and returns the first error.
func (k *Kernel) Stop(ctx context.Context) error {
	var first error
	services := k.list()
	for k.setStarted(0) > 0 {
		s := services[k.setStarted(-1)]
		if err := s.Stop(ctx); err != nil && first == nil {
			first = errors.Wrapf(err, "stop %s", s.Name())
		}
	}
	return first
}

func (k *Kernel) list() []cove.Service {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]cove.Service(nil), k.services...)
}

func (k *Kernel) setStarted(delta int) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.started += delta
	return k.started
}
