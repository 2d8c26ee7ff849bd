package journal

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// File is an open file of the data folder.
type File interface {
	Write(p []byte) (int, error)
	// Sync returns once everything written is on stable storage.
	Sync() error
	Truncate(size int64) error
	Close() error
}

// FileSystem is the set of operations on the data folder. Tests inject faults into it.
type FileSystem interface {
	// MakeFolder creates the folder and its parents.
	MakeFolder(name string) error
	// List returns the names of the files in a folder, sorted.
	List(folder string) ([]string, error)
	Read(name string) ([]byte, error)
	// OpenForAppend opens an existing or new file for appending.
	OpenForAppend(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncFolder makes created, renamed and removed names durable.
	SyncFolder(name string) error
	// Lock takes an exclusive lock that is released by Close or the end of the process.
	// It fails with ErrLocked if another process holds it.
	Lock(name string) (File, error)
}

// ErrLocked is returned by FileSystem.Lock.
var ErrLocked = errors.New("locked by another process")

const (
	fileMode   = 0o600
	folderMode = 0o700
)

// OSFileSystem is the FileSystem of the operating system.
type OSFileSystem struct{}

var _ FileSystem = OSFileSystem{}

// MakeFolder creates the folder and its parents.
func (OSFileSystem) MakeFolder(name string) error { return os.MkdirAll(name, folderMode) }

// List returns the names of the files in a folder.
func (OSFileSystem) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// Read returns the content of a file.
func (OSFileSystem) Read(name string) ([]byte, error) { return os.ReadFile(name) }

// OpenForAppend opens a file for appending.
func (OSFileSystem) OpenForAppend(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_APPEND|os.O_CREATE, fileMode)
}

// Rename renames a file and replaces an existing one.
func (OSFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (OSFileSystem) Remove(name string) error { return os.Remove(name) }

// SyncFolder syncs a directory.
func (OSFileSystem) SyncFolder(name string) error {
	d, err := os.Open(name)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Lock takes an advisory lock on a file.
func (OSFileSystem) Lock(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, errors.Join(ErrLocked, f.Close())
	}
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// replaceFile replaces a file atomically: after a crash it has either the old or
// the new content.
func replaceFile(files FileSystem, folder, tempName, name string, content []byte) error {
	if err := writeFile(files, filepath.Join(folder, tempName), content); err != nil {
		return err
	}
	return renameDurably(files, folder, tempName, name)
}

// writeFile writes and syncs a new file; an existing file of this name is removed
// first. A file that finds the disk full is removed, so that it does not keep it full.
func writeFile(files FileSystem, name string, content []byte) error {
	err := files.Remove(name)
	if isNoSpace(err) {
		return errFull(fmt.Errorf("remove %s: %w", name, err))
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("remove %s: %w", name, err)
	}
	f, err := files.OpenForAppend(name)
	if isNoSpace(err) {
		return errFull(fmt.Errorf("create %s: %w", name, err))
	}
	if err != nil {
		return fmt.Errorf("create %s: %w", name, err)
	}
	_, err = f.Write(content)
	if isNoSpace(err) {
		return removePartialFile(files, f, name, err)
	}
	if err != nil {
		return errors.Join(fmt.Errorf("write %s: %w", name, err), f.Close())
	}
	if err := f.Sync(); err != nil {
		return errors.Join(fmt.Errorf("sync %s: %w", name, err), f.Close())
	}
	return f.Close()
}

// removePartialFile removes a file whose write found the disk full. If that needs space
// as well, the next writeFile removes it.
func removePartialFile(files FileSystem, f File, name string, cause error) error {
	cause = fmt.Errorf("write %s: %w", name, cause)
	if err := f.Close(); err != nil {
		return errors.Join(cause, err)
	}
	if err := files.Remove(name); err != nil && !isNoSpace(err) {
		return errors.Join(cause, err)
	}
	return errFull(cause)
}

// renameDurably renames a synced file and syncs the folder.
func renameDurably(files FileSystem, folder, from, to string) error {
	err := files.Rename(filepath.Join(folder, from), filepath.Join(folder, to))
	if isNoSpace(err) {
		return errFull(fmt.Errorf("rename %s: %w", from, err))
	}
	if err != nil {
		return fmt.Errorf("rename %s: %w", from, err)
	}
	if err := files.SyncFolder(folder); err != nil {
		return fmt.Errorf("sync folder %s: %w", folder, err)
	}
	return nil
}
