package journal

import (
	"errors"
	"fmt"
	"io/fs"
	"syscall"

	"radishturn.example/radishturn/pkg/failure"
)

// asFailure names the step and the folder, and tells the kinds of failure apart
// that an operator mends in different ways.
func asFailure(step, folder string, err error) error {
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
	case errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT):
		return failure.DataFolderFull
	case errors.Is(err, fs.ErrPermission), errors.Is(err, syscall.EROFS):
		return failure.DataFolderReadOnly
	case errors.Is(err, ErrLocked):
		return failure.DataFolderOccupied
	}
	return failure.DataFolderDamaged
}

// damaged returns a failure for content that does not check out.
func damaged(name, format string, args ...any) error {
	return failure.New(failure.DataFolderDamaged, failure.NotRun, "read", name, "%w", fmt.Errorf(format, args...))
}
