package pomelolistener

import "bytes"

// headScanner follows the bytes of a request's head to its end.
type headScanner struct {
	// bytes is the length of the head so far.
	bytes int64
	// line is the length of the current line without carriage returns.
	line  int
	began bool
	done  bool
}

// scan takes the next bytes of the connection and returns the memory that the part of them that belongs to the head takes once it is parsed.
func (s *headScanner) scan(data []byte) int64 {
	memory := int64(0)
	for len(data) > 0 && !s.done {
		end := bytes.IndexByte(data, '\n')
		line := data
		if end >= 0 {
			line = data[:end+1]
		}
		data = data[len(line):]
		s.bytes += int64(len(line))
		memory += byteMemory * int64(len(line))
		s.line += len(bytes.TrimRight(line, "\r\n"))
		if end < 0 {
			continue
		}
		memory += lineMemory
		// Empty lines before the request line are skipped, as net/http does.
		s.done = s.began && s.line == 0
		s.began = s.began || s.line > 0
		s.line = 0
	}
	return memory
}
