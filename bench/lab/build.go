package lab

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
)

// Build compiles the binary into a folder, with extra flags of go build, and
// returns its path. It must be called from inside the workspace.
func Build(dir string, flags ...string) (string, error) {
	out, err := exec.Command("go", "env", "GOWORK").Output()
	if err != nil {
		return "", eris.Wrap(err, "find workspace")
	}
	root := filepath.Dir(strings.TrimSpace(string(out)))
	binary := filepath.Join(dir, "rattanspur")
	cmd := exec.Command("go", append(append([]string{"build", "-o", binary}, flags...), "./cmd/rattanspur")...)
	cmd.Dir = root
	cmd.Stderr = os.Stderr
	return binary, eris.Wrap(cmd.Run(), "build rattanspur")
}
