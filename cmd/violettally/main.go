// Command violettally is a request router for versions and cascades of language
// models. The same binary runs the nodes on entry VMs (`violettally serve`), runs
// the gateways of the users' platform (`violettally gateway`), and is the operators'
// command line tool.
//
//	violettally serve --settings node.json
//	violettally gateway --settings gateway.json
//	violettally check config.json
//	violettally apply config.json --expect 4
//	violettally explain 01932f6e-…
package main

import (
	"os"

	"github.com/violettally/violettally/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
