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
	// Sync makes the content durable.
	Sync() error
	Truncate(size int64) error
	Size() (int64, error)
}

// FS is the part of a file system that the log and its snapshots use. Tests
// replace it to inject a full disk and to crash to the synced state.
type FS interface {
	// Create opens a new empty file for appending and replaces an old one.
	Create(name string) (File, error)
	// Open opens an existing file for reading and appending.
	Open(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	// List returns the sorted base names of the files in dir.
	List(dir string) ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	MkdirAll(dir string) error
	// SyncDir makes created, renamed and removed names of dir durable.
	SyncDir(dir string) error
	// Lock takes the lock file name; it fails while another process holds it.
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

// MkdirAll implements FS. The parent is synced so that the name dir is durable.
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

// Lock implements FS. The lock ends with the process at the latest.
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

// WriteAtomic writes a file as temporary file, sync, rename and sync of the
// directory, so that a crash leaves either the old or the whole new content.
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

// TempSuffix ends the name of a file that is not complete; such files are
// removed at start.
const TempSuffix = ".tmp"
