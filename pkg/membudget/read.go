package membudget

import (
	"errors"
	"io"
)

// ErrTooLong means that a message is longer than it may be.
var ErrTooLong = errors.New("message is too long")

const (
	// UnknownLength is the length of a message that does not state it.
	UnknownLength = -1
	// firstBytes are allocated for a message of unknown length at first.
	firstBytes = minShareBytes
	// maxFirstBytes bounds what is allocated for a stated length before it has arrived.
	maxFirstBytes = 16 << 10
	// growthFactor is how much larger the next buffer is.
	growthFactor = 2
)

// Space is the room for one message: its reservation in a budget. The zero value is
// without limit.
type Space struct {
	Budget      *Budget
	Reservation *Reservation
	// Assured is set if a message of 4 KiB is always read, such as the reply to a request
	// that was admitted. The caller bounds the number of such messages.
	Assured bool
	// Whole is set if one message may take the whole budget.
	Whole bool
}

func (s Space) grow(n int) error {
	switch {
	case s.Reservation == nil:
		return nil
	case s.Assured && n <= firstBytes:
		return s.Reservation.Assure(s.Budget, int64(n))
	case s.Whole:
		return s.Reservation.Grow(s.Budget, int64(n))
	}
	return s.Reservation.GrowShare(s.Budget, int64(n))
}

// within reports whether a message in a buffer of n bytes is still within its share, which
// shrinks as other messages come.
func (s Space) within(n int) bool {
	return s.Reservation == nil || s.Whole || int64(n) <= s.Budget.share(int64(n))
}

// discard gives back a buffer that the message no longer uses.
func (s Space) discard(b []byte) {
	if s.Reservation != nil {
		s.Reservation.Shrink(int64(cap(b)))
		s.Budget.recycle(b)
	}
}

// ReadAll reads r to its end, as io.ReadAll does, into memory that is reserved before it
// is allocated. length is what the message states, in bytes, or UnknownLength; memory is
// not allocated for a statement alone. A message of more than limit bytes fails with
// ErrTooLong, one without room, or whose share others need by now, with ErrExhausted; the
// caller then releases the reservation.
func ReadAll(r io.Reader, length, limit int, s Space) ([]byte, error) {
	b, err := readAll(r, length, limit, s)
	if err != nil {
		s.discard(b)
		return nil, err
	}
	return b, nil
}

// readAll is like ReadAll, and returns the buffer also if it fails.
func readAll(r io.Reader, length, limit int, s Space) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLong
	}
	// One byte more tells a message of the greatest length from a longer one.
	most := limit + 1
	if length >= 0 {
		most = length
	}
	b, err := enlarge(nil, firstSize(length, most), s)
	for err == nil {
		if len(b) == cap(b) && cap(b) < most {
			b, err = enlarge(b, min(growthFactor*cap(b), most), s)
			continue
		}
		if len(b) == cap(b) {
			return b, atEnd(r, len(b), limit)
		}
		var n int
		n, err = r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if err == nil && len(b) < most && !s.within(cap(b)) {
			err = ErrExhausted
		}
	}
	switch {
	case !errors.Is(err, io.EOF):
		return b, err
	case length >= 0 && len(b) < length:
		return b, io.ErrUnexpectedEOF
	}
	return b, nil
}

func firstSize(length, most int) int {
	if length < 0 {
		return min(firstBytes, most)
	}
	return min(maxFirstBytes, most)
}

// enlarge returns b in a buffer of size bytes.
func enlarge(b []byte, size int, s Space) ([]byte, error) {
	if err := s.grow(size); err != nil {
		return b, err
	}
	larger := append(s.Budget.buffer(size), b...)
	s.discard(b)
	return larger, nil
}

// atEnd returns nil if a message of n bytes, which fill the buffer, ends here.
func atEnd(r io.Reader, n, limit int) error {
	if n > limit {
		return ErrTooLong
	}
	var extra [1]byte
	for {
		n, err := r.Read(extra[:])
		switch {
		case n > 0:
			return ErrTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}
