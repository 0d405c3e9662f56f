package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
)

// Build compiles a program of the workspace, named by its folder, and returns
// its path. It must be called from inside the workspace.
func Build(dir, program string) (string, error) {
	out, err := exec.Command("go", "env", "GOWORK").Output()
	if err != nil {
		return "", eris.Wrap(err, "find workspace")
	}
	binary := filepath.Join(dir, filepath.Base(program))
	cmd := exec.Command("go", "build", "-o", binary, "./"+program)
	cmd.Dir = filepath.Dir(strings.TrimSpace(string(out)))
	cmd.Stderr = os.Stderr
	return binary, eris.Wrapf(cmd.Run(), "build %s", program)
}
