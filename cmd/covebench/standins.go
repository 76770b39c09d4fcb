package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove/internal/bench/fake"
	"turmericcove.org/cove/internal/bench/server"
	"turmericcove.org/cove/internal/core/group"
)

const headerTimeout = 5 * time.Second

type platformCmd struct {
	Listen netip.AddrPort `help:"Address to listen on." default:"127.0.0.1:7000"`
	Seed   uint64         `help:"Seed of the faults." default:"1"`
	Lost   float64        `help:"Share of writes whose answer is lost."`
	Older  float64        `help:"Share of reads that return an older state."`
	Delay  time.Duration  `help:"Delay of every operation."`
}

func (c *platformCmd) Run(ctx context.Context) error {
	p := fake.New(nil, c.Seed)
	p.SetFaults(fake.Faults{LostShare: c.Lost, OlderShare: c.Older, OlderCommits: 1, Delay: c.Delay})
	srv := &http.Server{Addr: c.Listen.String(), Handler: p.Handler(), ReadHeaderTimeout: headerTimeout}
	var tasks group.Group
	tasks.Go(func(context.Context) error {
		<-ctx.Done()
		return srv.Close()
	})
	fmt.Println("platform stand-in on", c.Listen)
	if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve platform")
	}
	return tasks.Wait()
}

type backendCmd struct {
	Listen  netip.AddrPort `help:"Address to listen on." default:"127.0.0.1:9000"`
	ID      string         `help:"Name in answers." default:"backend"`
	Slots   int            `help:"Requests that run at a time." default:"5"`
	Queue   int            `help:"Requests that wait for a slot." default:"5"`
	Service time.Duration  `help:"Time of one request." default:"20ms"`
	Seed    uint64         `help:"Seed of the faults." default:"1"`
	Silent  float64        `help:"Share of requests without an answer."`
	Late    float64        `help:"Share of late answers."`
	Crossed float64        `help:"Share of answers to another request."`
	Cut     float64        `help:"Share of answers that are cut."`
}

const lateBy = 300 * time.Millisecond

func (c *backendCmd) Run(ctx context.Context) error {
	s := server.New(server.Config{
		ID: c.ID, Slots: c.Slots, Queue: c.Queue, ServiceTime: c.Service, Seed: c.Seed,
		Faults: server.Faults{Silent: c.Silent, Late: c.Late, Crossed: c.Crossed, Cut: c.Cut, LateBy: lateBy},
	})
	if err := s.Listen(c.Listen); err != nil {
		return err
	}
	fmt.Println("backend server stand-in on", s.Addr())
	<-ctx.Done()
	return s.Close()
}
