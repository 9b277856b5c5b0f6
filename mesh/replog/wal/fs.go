package wal

import (
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// File is an open file of an FS.
type File interface {
	io.Writer
	io.ReaderAt
	io.Closer
	// Sync makes the contents durable.
	Sync() error
	Truncate(size int64) error
	Size() (int64, error)
}

// FS is the part of a file system that the log and its snapshots use. Tests
// replace it to simulate a full disk and crashes.
type FS interface {
	// Create creates an empty file for appending and replaces an existing one.
	Create(name string) (File, error)
	// Open opens an existing file for reading and appending.
	Open(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	// List returns the sorted base names of the files in dir.
	List(dir string) ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	MkdirAll(dir string) error
	// SyncDir makes the creation, renaming and removal of files in dir durable.
	SyncDir(dir string) error
	// Lock acquires the lock file name. It fails while another process holds it.
	Lock(name string) (io.Closer, error)
}

// OS is the file system of the operating system.
type OS struct{}

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

const (
	fileMode fs.FileMode = 0o640
	dirMode  fs.FileMode = 0o750
)

// Create implements FS.
func (OS) Create(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR|os.O_APPEND|os.O_TRUNC, fileMode)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Open implements FS.
func (OS) Open(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_APPEND, fileMode)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// ReadFile implements FS.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// List implements FS.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// MkdirAll implements FS. It syncs the parent directory to make a new dir
// durable.
func (o OS) MkdirAll(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	return o.SyncDir(filepath.Dir(dir))
}

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Lock implements FS. The operating system releases the lock when the process
// ends.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("lock %s: %w", name, err)
	}
	return f, nil
}

// WriteAtomic writes a temporary file, syncs and renames it, and syncs the
// directory. After a crash, the file has either its old or its complete new
// contents.
func WriteAtomic(fsys FS, name string, parts ...[]byte) error {
	tmp := name + TempSuffix
	f, err := fsys.Create(tmp)
	if err != nil {
		return Classify(err)
	}
	for _, p := range parts {
		if _, err = f.Write(p); err != nil {
			break
		}
	}
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		_ = fsys.Remove(tmp)
		return Classify(err)
	}
	if err := fsys.Rename(tmp, name); err != nil {
		return Classify(err)
	}
	return Classify(fsys.SyncDir(filepath.Dir(name)))
}

// TempSuffix is the suffix of an incomplete file. Such files are removed at
// start.
const TempSuffix = ".tmp"
