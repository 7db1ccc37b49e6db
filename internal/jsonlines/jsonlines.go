// Package jsonlines reads logs of JSON lines, as the programs write them and as
// journals and collectors hand them on.
//
// # Usage
//
//	broken, err := jsonlines.Read("gateway.log", log, func(object []byte) bool {
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

	// Unreadable says that a log could not be read to its end.
	Unreadable = namespace.NewType("unreadable")
)

// maxLine bounds a line in bytes; a decision takes a few thousand.
const maxLine = 1 << 20

// Read calls take with each line from its first brace on: what stands before it is of
// a journal or collector. Lines without a brace are passed over. It returns how many
// lines take refused, or were too long. The name is for errors.
func Read(name string, log io.Reader, take func(object []byte) bool) (broken int, err error) {
	lines := bufio.NewReaderSize(log, maxLine)
	for n := 1; ; n++ {
		line, err := lines.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			broken++
			err = skipLine(lines)
		} else if err == nil || errors.Is(err, io.EOF) {
			if brace := bytes.IndexByte(line, '{'); brace >= 0 && !take(line[brace:]) {
				broken++
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return broken, nil
		case err != nil:
			return broken, errs.Wrap(Unreadable, "read", err, "%s, line %d", name, n)
		}
	}
}

// skipLine reads to the end of a line that is too long.
func skipLine(lines *bufio.Reader) error {
	for {
		if _, err := lines.ReadSlice('\n'); !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
