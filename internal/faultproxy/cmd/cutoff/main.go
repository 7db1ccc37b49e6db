// Command cutoff runs the shipped command without a way to the backend servers, for tests: a gateway has its requests
// carried by other gateways. It is not part of the product.
//
//	cutoff gateway --settings gateway.json
package main

import (
	"os"

	"github.com/violettally/violettally/command"
	"github.com/violettally/violettally/gateway"
	"github.com/violettally/violettally/internal/faultproxy"
)

func main() {
	link := faultproxy.NewLink()
	link.Set(faultproxy.LinkRefuse)
	os.Exit(command.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr, command.WithGatewayOptions(gateway.WithServerDialer(link.DialContext))))
}
