package journal

import (
	"errors"
	"fmt"
	"io/fs"
	"syscall"

	"radishturn.example/radishturn/pkg/failure"
)

// ErrFull is returned for a write that found the disk or the quota full. The journal is
// as it was before the call, which may be repeated.
var ErrFull = errors.New("the data folder is full, and the write was undone")

// errFull returns ErrFull with its cause.
func errFull(cause error) error { return fmt.Errorf("%w: %w", ErrFull, cause) }

func isNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// wrapFailure adds the step, the folder and a code. The codes distinguish the
// failures that an operator fixes in different ways.
func wrapFailure(step, folder string, err error) error {
	return &failure.Error{
		Code: codeOf(err),
		Step: step,
		Peer: folder,
		Ran:  failure.Unknown,
		Err:  err,
	}
}

func codeOf(err error) failure.Code {
	var known *failure.Error
	switch {
	case errors.As(err, &known):
		return known.Code
	case isNoSpace(err):
		return failure.DataFolderFull
	case errors.Is(err, fs.ErrPermission), errors.Is(err, syscall.EROFS):
		return failure.DataFolderReadOnly
	case errors.Is(err, ErrLocked):
		return failure.DataFolderOccupied
	}
	return failure.DataFolderDamaged
}

// errDamaged returns a failure for content that is not valid.
func errDamaged(name, format string, args ...any) error {
	return failure.New(failure.DataFolderDamaged, failure.NotRun, "read", name, "%w", fmt.Errorf(format, args...))
}
