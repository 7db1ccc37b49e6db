//go:build race

package e2e_test

// buildFlags enable the race detector in the processes under test when the tests run
// with it.
var buildFlags = []string{"build", "-race"}
