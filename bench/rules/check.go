package rules

import (
	"context"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Result tells whether the test noticed that its rule was removed.
type Result struct {
	Rule    Rule
	Noticed bool
	// Output is that of the test.
	Output string
}

// testTimeout ends a test that hangs without its rule, which counts as noticed.
const testTimeout = 3 * time.Minute

// Copy copies the sources below root to dir.
func Copy(root, dir string) error {
	skipped := map[string]bool{".git": true, "journal": true, "target": true, "bin": true}
	return filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		switch {
		case d.IsDir() && skipped[rel]:
			return filepath.SkipDir
		case d.IsDir():
			return os.MkdirAll(filepath.Join(dir, rel), 0o755)
		case !d.Type().IsRegular():
			return nil
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(dir, rel), data, 0o644)
	})
}

// Check removes the rule from the copy in dir, runs its test, and puts the rule back.
func Check(ctx context.Context, dir string, r Rule) (Result, error) {
	before, after, err := r.Remove(dir)
	if err != nil {
		return Result{}, err
	}
	path := filepath.Join(dir, r.File)
	if err := os.WriteFile(path, after, 0o644); err != nil {
		return Result{}, errors.Wrap(err, "remove the rule")
	}
	cmd := exec.CommandContext(ctx, "go", "test", "./"+r.Package, "-run", "^"+r.Test+"$", "-count", "1", "-timeout", testTimeout.String())
	cmd.Dir = dir
	output, testErr := cmd.CombinedOutput()
	if err := os.WriteFile(path, before, 0o644); err != nil {
		return Result{}, errors.Wrap(err, "put the rule back")
	}
	if strings.Contains(string(output), "[build failed]") || strings.Contains(string(output), "[setup failed]") {
		return Result{}, errors.Errorf("rule %q: the copy without it does not build:\n%s", r.Name, output)
	}
	return Result{Rule: r, Noticed: testErr != nil, Output: string(output)}, ctx.Err()
}
