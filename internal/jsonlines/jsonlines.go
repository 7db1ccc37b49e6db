// Package jsonlines reads logs in the JSON Lines format, also if a journal or log
// collector has put a prefix before each line.
//
// # Usage
//
//	malformed, err := jsonlines.Read("gateway.log", log, func(object []byte) bool {
//		return json.Unmarshal(object, &entry) == nil
//	})
package jsonlines

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/violettally/violettally/internal/errs"
)

var (
	namespace = errs.Namespace("jsonlines")

	// Unreadable is the error for a log that could not be read to its end.
	Unreadable = namespace.NewType("unreadable")
)

// maxLineBytes bounds a line; the log entry of a decision takes a few thousand bytes.
const maxLineBytes = 1 << 20

// Read calls handle with each line, from its first brace on; anything before it is a
// prefix from a journal or collector. Lines without a brace are skipped. Read returns
// the number of malformed lines: those for which handle returned false and those
// that are too long. The name is used in errors.
func Read(name string, log io.Reader, handle func(object []byte) bool) (malformed int, err error) {
	lines := bufio.NewReaderSize(log, maxLineBytes)
	for n := 1; ; n++ {
		line, err := lines.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			malformed++
			err = skipLine(lines)
		} else if err == nil || errors.Is(err, io.EOF) {
			if brace := bytes.IndexByte(line, '{'); brace >= 0 && !handle(line[brace:]) {
				malformed++
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return malformed, nil
		case err != nil:
			return malformed, errs.Wrap(Unreadable, "read", err, "%s, line %d", name, n)
		}
	}
}

// skipLine discards the rest of a line that is too long.
func skipLine(lines *bufio.Reader) error {
	for {
		if _, err := lines.ReadSlice('\n'); !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
