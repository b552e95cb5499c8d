package settings

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// ReadDirectory reads all TOML files of a directory tree, by path with slashes. Files and
// directories whose name begins with a dot are passed over. Symbolic links are refused,
// so that a tree can't contain itself.
func ReadDirectory(dir string) (map[string]string, error) {
	docs := map[string]string{}
	err := filepath.WalkDir(dir, func(p string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		hidden := strings.HasPrefix(entry.Name(), ".") && p != dir
		switch {
		case hidden && entry.IsDir():
			return filepath.SkipDir
		case hidden || entry.IsDir():
			return nil
		case entry.Type()&fs.ModeSymlink != 0:
			return errors.Newf("%s is a symbolic link, which a tree must not contain", p)
		case !strings.HasSuffix(p, suffix):
			return nil
		}
		return readInto(docs, dir, p)
	})
	if err != nil {
		return nil, errors.Wrapf(err, "read settings directory %s", dir)
	}
	return docs, nil
}

func readInto(docs map[string]string, dir, p string) error {
	text, err := os.ReadFile(p)
	if err != nil {
		return err
	}
	name, err := filepath.Rel(dir, p)
	if err != nil {
		return err
	}
	docs[filepath.ToSlash(name)] = string(text)
	return nil
}
