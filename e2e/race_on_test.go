//go:build race

package e2e_test

// buildFlags let the processes under test look for data races where the tests
// do.
var buildFlags = []string{"build", "-race"}
