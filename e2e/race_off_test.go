//go:build !race

package e2e_test

var buildFlags = []string{"build"}
