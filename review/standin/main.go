// Command standin plays the cases of the review that are scripts. It starts the
// project's own program as separate processes, together with a stand-in of the
// platform's store, of backend servers and of clients, all on loopback addresses.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with
// 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// play runs a case and returns whether its rule was broken, with a line that says
// what was counted.
type play func(w *world, trouble bool) (broken bool, verdict string, err error)

// plays holds the cases by name.
var plays = map[string]play{
	"memory":  playMemory,
	"lapse":   playLapse,
	"chunked": playChunked,
	"restart": playRestart,
	"prefix":  playPrefix,
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
	// argCount is the number of arguments: the case and its folder.
	argCount = 3
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != argCount || plays[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE FOLDER")
		return exitUnable
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Println("unable to run:", err)
		return exitUnable
	}
	defer w.close()
	w.note("case %s, trouble %v", os.Args[1], trouble)
	broken, verdict, err := plays[os.Args[1]](w, trouble)
	if err != nil {
		w.note("unable to run: %v", err)
		fmt.Println("unable to run:", err)
		return exitUnable
	}
	w.note("verdict: %s", verdict)
	fmt.Println(verdict)
	if broken {
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
