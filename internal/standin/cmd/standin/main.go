// Command standin runs one of the stand-ins as a separate process, for the
// example, the tests and benchmarks. It is not part of the product.
//
//	standin kv --listen 127.0.0.1:7001
//	standin engine --listen 127.0.0.1:7101 --name r1 --token-ms 5
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/violettally/violettally/internal/standin"
)

type listenArgs struct {
	Listen string `arg:"--listen,required" help:"IP:PORT to listen on"`
}

type vmListArgs struct {
	listenArgs
	LagMillis int      `arg:"--lag-ms" help:"how late the list shows a change"`
	Live      []string `arg:"--live" help:"names of the VMs listed as live"`
}

type ratingArgs struct {
	listenArgs
	Drift float64 `arg:"--drift" help:"added to each rating"`
}

type engineArgs struct {
	listenArgs
	Name          string  `arg:"--name" default:"engine"`
	Slots         int     `arg:"--slots" default:"8"`
	Tokens        int     `arg:"--tokens" default:"16"`
	TokenMillis   float64 `arg:"--token-ms" default:"2"`
	PrefillMillis float64 `arg:"--prefill-ms" default:"5"`
	LagMillis     int     `arg:"--lag-ms" default:"200" help:"age of the load reports"`
	Fencing       bool    `arg:"--fencing" help:"check the fencing token of orders"`
}

type plainArgs struct {
	listenArgs
	DelayMillis int `arg:"--delay-ms" default:"2"`
}

type arguments struct {
	KeyValue *listenArgs `arg:"subcommand:kv" help:"the platform's key-value service"`
	VMList   *vmListArgs `arg:"subcommand:vmlist" help:"the platform's VM list"`
	Rating   *ratingArgs `arg:"subcommand:rating" help:"the rating service"`
	Engine   *engineArgs `arg:"subcommand:engine" help:"a model engine"`
	Plain    *plainArgs  `arg:"subcommand:plain" help:"a plain service"`
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	listen, handler := newHandler(args)
	if handler == nil {
		parser.Fail("a subcommand is required")
	}
	server := &http.Server{Addr: listen, Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	if err := server.ListenAndServe(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func newHandler(args arguments) (listen string, handler http.Handler) {
	switch {
	case args.KeyValue != nil:
		return args.KeyValue.Listen, standin.NewKeyValue().Handler()
	case args.VMList != nil:
		return args.VMList.Listen, newVMList(args.VMList).Handler()
	case args.Rating != nil:
		return args.Rating.Listen, standin.NewRating(args.Rating.Drift).Handler()
	case args.Engine != nil:
		return args.Engine.Listen, newEngine(args.Engine).Handler()
	case args.Plain != nil:
		return args.Plain.Listen, standin.NewPlain(millis(args.Plain.DelayMillis)).Handler()
	}
	return "", nil
}

func newVMList(args *vmListArgs) *standin.VMList {
	var vms []standin.VM
	for _, name := range args.Live {
		vms = append(vms, standin.VM{Name: name, State: "live"})
	}
	return standin.NewVMList(millis(args.LagMillis), vms...)
}

func newEngine(args *engineArgs) *standin.Engine {
	return standin.NewEngine(args.Name, standin.Behaviour{
		Slots:         args.Slots,
		Tokens:        args.Tokens,
		TokenMillis:   args.TokenMillis,
		PrefillMillis: args.PrefillMillis,
		LoadLagMillis: args.LagMillis,
		ChecksFencing: args.Fencing,
		CachePrefixes: 64,
	})
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
