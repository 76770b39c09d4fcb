package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"turmericcove.org/cove/platform/soak"
)

type soakCmd struct {
	Program string        `help:"The program that entry hosts run." required:"" type:"existingfile"`
	Hosts   int           `help:"Number of entry hosts, each a process." default:"24"`
	Servers int           `help:"Number of backend servers; 0 is that of the site, by the number of hosts."`
	Rate    float64       `help:"Requests a second for each host." default:"24"`
	Seed    uint64        `help:"Seed of the load and the events." default:"1"`
	Time    time.Duration `help:"Length of the traffic." default:"1m"`
	Quota   bool          `help:"Keep each host to its share of a core."`
	Dir     string        `help:"Folder for the record, settings and logs." required:""`
}

func (c *soakCmd) Run(ctx context.Context) error {
	r, err := soak.Run(ctx, soak.Options{
		Program: c.Program, Dir: c.Dir, Hosts: c.Hosts, Servers: c.Servers, Rate: c.Rate, Seed: c.Seed, Time: c.Time, Quota: c.Quota, Out: os.Stdout,
	})
	fmt.Printf("requests %d, stops %d, lost %d, other rules broken %d\n", r.Requests, r.Stops, r.Lost, r.Others)
	return err
}
