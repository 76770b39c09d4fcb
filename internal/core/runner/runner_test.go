package runner

import (
	"context"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

type fakeService struct {
	name      string
	failStart bool
	log       *[]string
}

func (f fakeService) Name() string { return f.name }

func (f fakeService) Start(context.Context) error {
	*f.log = append(*f.log, "+"+f.name)
	if f.failStart {
		return errors.New("no port")
	}
	return nil
}

func (f fakeService) Stop(context.Context) error {
	*f.log = append(*f.log, "-"+f.name)
	return nil
}

// Guards against services left running when a later one fails to start.
func TestFailedStartStopsEarlierInReverse(t *testing.T) {
	var log []string
	var r Runner
	for _, f := range []fakeService{{name: "a", log: &log}, {name: "b", log: &log}, {name: "c", failStart: true, log: &log}} {
		if err := r.Add(f); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.Start(context.Background()); err == nil {
		t.Fatal("Start succeeded")
	}
	if got := strings.Join(log, " "); got != "+a +b +c -b -a" {
		t.Fatalf("order = %q, want %q", got, "+a +b +c -b -a")
	}
}

// Guards against a lookup that returns a service of another type.
func TestFindChecksType(t *testing.T) {
	var log []string
	var r Runner
	if err := r.Add(fakeService{name: "a", log: &log}); err != nil {
		t.Fatal(err)
	}
	if _, err := Find[fakeService](&r, "a"); err != nil {
		t.Error(err)
	}
	if _, err := Find[interface{ Missing() }](&r, "a"); err == nil {
		t.Error("Find returned a service of another type")
	}
}
