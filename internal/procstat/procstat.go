// Package procstat reads from /proc what a process takes of its machine, for tests.
//
// # Usage
//
//	peak := procstat.StatusKB(pid, "VmHWM")
//	open := procstat.Sockets(pid)
package procstat

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// StatusKB returns a figure of a process's memory in kB; zero if the process has ended.
func StatusKB(pid int, name string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, name+":"); ok {
			kilobytes, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kilobytes
		}
	}
	return 0
}

// Sockets returns the number of open sockets of a process.
func Sockets(pid int) int64 {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	entries, _ := os.ReadDir(folder)
	sockets := int64(0)
	for _, entry := range entries {
		if target, _ := os.Readlink(filepath.Join(folder, entry.Name())); strings.HasPrefix(target, "socket:") {
			sockets++
		}
	}
	return sockets
}
