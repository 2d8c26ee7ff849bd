package journal

import (
	"errors"
	"fmt"
	"io/fs"
	"syscall"

	"radishturn.example/radishturn/pkg/failure"
)

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
	case errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT):
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
