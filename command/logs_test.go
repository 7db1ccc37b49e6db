package command_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/command"
)

// decisionLine is a log line of a gateway with one decision.
const decisionLine = `{"msg":"decision","steps":[{"step":"head","detail":"after 2 ms, expected 1, of it 0 waiting; confidence 9 of m"}]}` + "\n"

func TestLags(t *testing.T) {
	const serverGoneLine = `{"time":"2026-01-01T00:00:00Z","msg":"server is gone","vm":"n","server":"s","revision":1}` + "\n"
	for _, tt := range []struct {
		name, stdin string
		code        int
	}{{"store change", serverGoneLine, command.ExitOK}, {"no store change", decisionLine, command.ExitFailure}} {
		t.Run(tt.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			must.Eq(t, tt.code, command.Main([]string{"lags"}, strings.NewReader(tt.stdin), &stdout, &stderr), must.Sprint(stderr.String()))
		})
	}
}

func TestEstimates(t *testing.T) {
	file := filepath.Join(t.TempDir(), "gateway.log")
	must.NoError(t, os.WriteFile(file, []byte(decisionLine+decisionLine), 0o600))
	tests := []struct {
		name   string
		files  []string
		stdin  string
		code   int
		stdout string
		stderr string
	}{
		{"standard input", nil, decisionLine, command.ExitOK, "1 decisions;", ""},
		{"file", []string{file}, decisionLine, command.ExitOK, "2 decisions;", ""},
		{"several files", []string{file, file}, "", command.ExitOK, "4 decisions;", ""},
		{"no such file", []string{file, file + "x"}, "", command.ExitFailure, "", "no such file"},
		{"directory", []string{filepath.Dir(file)}, "", command.ExitFailure, "", filepath.Dir(file) + ", line 1"},
		{"log of another program", nil, "started\n{\n", command.ExitFailure, "", "no decisions in these logs; 1 broken lines"},
		{"unknown flag", []string{"--chart"}, decisionLine, command.ExitUsage, "", "--chart"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			code := command.Main(append([]string{"estimates"}, tt.files...), strings.NewReader(tt.stdin), &stdout, &stderr)
			must.Eq(t, tt.code, code)
			must.StrContains(t, stdout.String(), tt.stdout)
			must.StrContains(t, stderr.String(), tt.stderr)
			if tt.stdout == "" {
				must.Eq(t, "", stdout.String())
			}
		})
	}
}
