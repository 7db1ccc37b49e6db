// Package hostport checks addresses that other processes have written.
//
// # Usage
//
//	if !hostport.Valid(entry.Address) { … }
package hostport

import "net/netip"

// Valid reports whether an address is an IP address with a port that can be connected to.
func Valid(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0
}
