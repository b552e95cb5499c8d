package settings

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// ReadDirectory reads all TOML files of a directory tree. The result maps each file's path relative to
// dir, with slashes, to its text. Files and directories whose names begin with a dot are skipped.
// Symbolic links are an error, because through them a tree could contain itself.
func ReadDirectory(dir string) (map[string]string, error) {
	docs := map[string]string{}
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		hidden := strings.HasPrefix(entry.Name(), ".") && path != dir
		switch {
		case hidden && entry.IsDir():
			return filepath.SkipDir
		case hidden || entry.IsDir():
			return nil
		case entry.Type()&fs.ModeSymlink != 0:
			return errors.Newf("%s is a symbolic link; a settings directory must not contain any", path)
		case !strings.HasSuffix(path, fileSuffix):
			return nil
		}
		return readDocument(docs, dir, path)
	})
	if err != nil {
		return nil, errors.Wrapf(err, "read settings directory %s", dir)
	}
	return docs, nil
}

// readDocument reads one file into docs, under its path relative to dir.
func readDocument(docs map[string]string, dir, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	name, err := filepath.Rel(dir, path)
	if err != nil {
		return err
	}
	docs[filepath.ToSlash(name)] = string(text)
	return nil
}
