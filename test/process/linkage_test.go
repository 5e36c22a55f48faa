package process

import (
	"debug/elf"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var productBinaries = []string{"sequoia-instance", "sequoiactl"}

// Guards against statically linked binaries. These do not load the system's C library and
// therefore ignore its name-service configuration and preloaded libraries (LD_PRELOAD).
func TestBinariesLinkLibc(t *testing.T) {
	for _, name := range productBinaries {
		file, err := elf.Open(filepath.Join("../../bin", name))
		require.NoError(t, err)
		libraries, err := file.ImportedLibraries()
		file.Close()
		require.NoError(t, err)
		require.True(t, anyHasPrefix(libraries, "libc.so"), "%s does not import libc.so, only %v", name, libraries)
	}
}

func anyHasPrefix(list []string, prefix string) bool {
	for _, s := range list {
		if strings.HasPrefix(s, prefix) {
			return true
		}
	}
	return false
}

// Guards against product code that starts processes. Only package harness may do so.
func TestOnlyTheHarnessStartsProcesses(t *testing.T) {
	checkedFileCount := 0
	for _, root := range []string{"../../pkg", "../../cmd"} {
		err := filepath.Walk(root, func(path string, info os.FileInfo, err error) error {
			if err != nil || info.IsDir() || !strings.HasSuffix(path, ".go") || strings.Contains(path, "/harness/") {
				return err
			}
			source, err := os.ReadFile(path)
			checkedFileCount++
			for _, call := range []string{`"os/exec"`, "os.StartProcess", "syscall.ForkExec"} {
				require.NotContains(t, string(source), call, path)
			}
			return err
		})
		require.NoError(t, err)
	}
	require.Positive(t, checkedFileCount)
}
