package inbound

// lineScanner finds the first empty line. It is given a buffer that grows, and looks at each byte once.
type lineScanner struct {
	// seen is how many bytes were looked at, lines how many of them end a line.
	seen, lines int
	// lineBytes is how many bytes of the present line were seen; onlyReturn means that it is a carriage return alone.
	lineBytes  int
	onlyReturn bool
}

// next returns the end of the first empty line and the number of lines up to there, or 0 if none has come.
func (s *lineScanner) next(buffer []byte) (end, lines int) {
	for _, b := range buffer[s.seen:] {
		s.seen++
		if b != '\n' {
			s.lineBytes++
			s.onlyReturn = s.lineBytes == 1 && b == '\r'
			continue
		}
		s.lines++
		if s.lineBytes == 0 || s.onlyReturn {
			return s.seen, s.lines
		}
		s.lineBytes, s.onlyReturn = 0, false
	}
	return 0, s.lines
}
