package intake

import (
	"bytes"
	"strconv"
)

const (
	// maxBlankBytes is the number of CR and LF that may precede a request: net/http skips as many after a POST.
	maxBlankBytes = 4
	// lineBytes is the memory that net/http and the copies of the headers need for a line beyond its text: a slot in a
	// growing map, a slice of values, and a string for each name. Measured were 60 to 115 bytes a line.
	lineBytes = 160
	// textCopies is the number of copies of a head's text that exist at once.
	textCopies = 2
	lineFeed   = '\n'
)

// framing is how the end of a request's body is found.
type framing int

const (
	framingLength framing = iota
	framingChunked
	// framingUnknown means that net/http refuses the request, so nothing after its head is read.
	framingUnknown
)

// head finds the end of a request's head in data that arrives piece by piece, and checks its lines.
type head struct {
	// limit bounds the request line, and all other lines together.
	limit int
	// next is where the current line begins, searched where its end is looked for.
	next, searched int
	// fields is where the lines after the request line begin; 0 before that.
	fields int
	// ahead is the number of bytes of the head that were handed out before the data.
	ahead int
	blank int
	lines int

	framing framing
	length  int64
	// hasLength is true after a line with a length; isOld is true for versions of HTTP before 1.1.
	hasLength, isOld bool
}

// scan looks for the end of the head in its data, which begins with the same bytes each time. It returns the length of
// the whole head, 0 if its end has not arrived.
func (hed *head) scan(data []byte) (int, error) {
	for {
		at := bytes.IndexByte(data[hed.searched:], lineFeed)
		if at < 0 {
			hed.searched = len(data)
			return 0, hed.checkSize(len(data))
		}
		line := bytes.TrimSuffix(data[hed.next:hed.searched+at], []byte("\r"))
		isFirst := hed.next == 0
		hed.next = hed.searched + at + 1
		hed.searched = hed.next
		if err := hed.checkSize(hed.next); err != nil {
			return 0, err
		}
		done, err := hed.takeLine(line, isFirst && hed.ahead > hed.blank)
		if done || err != nil {
			return hed.next, err
		}
	}
}

// checkSize returns an error if the lines are longer than allowed. The blank line at the end does not count.
func (hed *head) checkSize(size int) error {
	if size-hed.fields > hed.limit+len("\r\n") {
		return errHeadSize
	}
	return nil
}

// takeLine checks one line and reports whether it ends the head. A line whose first byte was handed out before is not
// blank.
func (hed *head) takeLine(line []byte, hasBegun bool) (bool, error) {
	switch {
	case hed.fields == 0 && len(line) == 0 && !hasBegun:
		hed.blank += len("\r\n")
		if hed.blank > maxBlankBytes {
			return false, errBlankLines
		}
		return false, nil
	case hed.fields == 0:
		hed.fields = hed.next
		hed.isOld = !bytes.HasSuffix(line, []byte(" HTTP/1.1"))
		return false, nil
	case len(line) == 0:
		return true, nil
	}
	hed.lines++
	return false, hed.takeField(line)
}

// takeField checks a header line and takes the framing of the body from it.
func (hed *head) takeField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 || bytes.ContainsAny(name, " \t") || bytes.IndexByte(line, '\r') >= 0 {
		return errMalformed
	}
	switch {
	case len(name) == len("Content-Length") && bytes.EqualFold(name, []byte("Content-Length")):
		length, err := strconv.ParseUint(string(bytes.Trim(value, " \t")), 10, 63)
		if err != nil || hed.hasLength && int64(length) != hed.length {
			return errMalformed
		}
		hed.length, hed.hasLength = int64(length), true
	case len(name) == len("Transfer-Encoding") && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if hed.isOld {
			return errMalformed
		}
		if hed.framing != framingLength || !bytes.EqualFold(bytes.Trim(value, " \t"), []byte("chunked")) {
			hed.framing = framingUnknown
			return nil
		}
		hed.framing = framingChunked
	}
	return nil
}

// cost returns the memory that the parsed head needs.
func (hed *head) cost() int64 {
	return int64(textCopies*hed.next + lineBytes*hed.lines)
}
