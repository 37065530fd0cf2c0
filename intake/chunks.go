package intake

import "bytes"

const (
	// maxChunkLine is the limit of net/http on the line before a chunk.
	maxChunkLine = 4096
	// maxTrailerBytes is the limit of net/http on the lines after the last chunk.
	maxTrailerBytes = 4096
	// maxSizeDigits is the number of hexadecimal digits that a chunk's size may have.
	maxSizeDigits = 15
)

// part is what follows next in a body in chunks.
type part int

const (
	partSize part = iota
	partExtension
	partData
	partDataEnd
	partTrailer
)

// chunks finds the end of a body in chunks in data that arrives piece by piece.
type chunks struct {
	part part
	// size is the size of the current chunk, then what is left of it; digits is the number of its digits so far.
	size   int64
	digits int
	// line is the number of bytes of the current line, and total that of all lines of the trailer.
	line, total int
	last        byte
}

// scan returns the number of bytes that belong to the body, and whether it ends there.
func (chk *chunks) scan(data []byte) (int, bool, error) {
	for at := 0; at < len(data); {
		if skipped := chk.skip(data[at:]); skipped > 0 {
			if at += skipped; chk.line > maxChunkLine {
				return at, false, errMalformed
			}
			continue
		}
		done, err := chk.take(data[at])
		at++
		if done || err != nil {
			return at, done, err
		}
	}
	return len(data), false, nil
}

// skip returns the number of bytes of a chunk's data, or of its extensions up to the end of their line, at the start of
// the data.
func (chk *chunks) skip(data []byte) int {
	switch chk.part {
	case partData:
		count := min(int64(len(data)), chk.size)
		if chk.size -= count; chk.size == 0 {
			chk.part, chk.line = partDataEnd, 0
		}
		return int(count)
	case partExtension:
		count := bytes.IndexByte(data, lineFeed)
		if count < 0 {
			count = len(data)
		}
		if count > 0 {
			chk.line += count
			chk.last = data[count-1]
		}
		return count
	}
	return 0
}

// take handles one byte that is not a chunk's data, and reports whether it ends the body.
func (chk *chunks) take(char byte) (bool, error) {
	defer func() { chk.last = char }()
	chk.line++
	switch chk.part {
	case partSize:
		return false, chk.takeSize(char)
	case partExtension:
		// The byte is a line feed.
		if chk.last != '\r' {
			return false, errMalformed
		}
		chk.endLine()
	case partDataEnd:
		if char != "\r\n"[chk.line-1] {
			return false, errMalformed
		}
		if char == lineFeed {
			chk.part, chk.line, chk.size, chk.digits = partSize, 0, 0, 0
		}
	case partTrailer:
		chk.total++
		if chk.total > maxTrailerBytes {
			return false, errTrailer
		}
		if char == lineFeed && chk.last != '\r' {
			// net/http would look for the end of the trailer beyond its blank line.
			return false, errMalformed
		}
		if char == lineFeed {
			isBlank := chk.line == len("\r\n")
			chk.line = 0
			return isBlank, nil
		}
	}
	return false, nil
}

// takeSize handles a byte of the line with the size of a chunk.
func (chk *chunks) takeSize(char byte) error {
	var digit int
	switch {
	case char >= '0' && char <= '9':
		digit = int(char - '0')
	case char >= 'a' && char <= 'f':
		digit = int(char-'a') + 10
	case char >= 'A' && char <= 'F':
		digit = int(char-'A') + 10
	case char == lineFeed || chk.digits == 0:
		return errMalformed
	default:
		chk.part = partExtension
		return nil
	}
	chk.digits++
	if chk.digits > maxSizeDigits {
		return errMalformed
	}
	chk.size = chk.size<<4 | int64(digit)
	return nil
}

// endLine begins the data of a chunk, or the trailer after the last one.
func (chk *chunks) endLine() {
	chk.line = 0
	if chk.part = partData; chk.size == 0 {
		chk.part = partTrailer
	}
}
