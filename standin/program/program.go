// Package program compiles programs of the workspace for tests and benchmarks,
// which run them as separate processes.
package program

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Product is the folder of the only program that is shipped, relative to the
// root of the workspace.
const Product = "cmd/rattanspur"

// Build compiles the program in a folder of the workspace and returns the path of
// the binary, which is written to dir. The flags are passed to go build. Build
// must be called from inside the workspace.
func Build(dir, folder string, flags ...string) (string, error) {
	out, err := exec.Command("go", "env", "GOWORK").Output()
	if err != nil {
		return "", eris.Wrap(err, "find workspace")
	}
	binary := filepath.Join(dir, filepath.Base(folder))
	cmd := exec.Command("go", slices.Concat([]string{"build", "-o", binary}, flags, []string{"./" + folder})...)
	cmd.Dir = filepath.Dir(strings.TrimSpace(string(out)))
	cmd.Stderr = os.Stderr
	return binary, eris.Wrapf(cmd.Run(), "build %s", folder)
}
