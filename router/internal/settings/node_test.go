package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"tanagerwood.dev/router/internal/settings"
)

// FuzzNodeFile guards against settings files that crash the process or pass validation without the values that a node needs.
func FuzzNodeFile(f *testing.F) {
	f.Add(`{"instance":"i","domain":"z","caller-listen":"127.0.0.1:1","ready-listen":"127.0.0.1:2","peer-listen":"127.0.0.1:3","platform-address":"127.0.0.1:4","memory-mb":134}`)
	f.Add(`{"memory-mb":-5,"stop-grace":"-1s","retry-ratio":"NaN"}`)
	f.Add(`{"seeds":["a","b"],"instance":{"x":1}}`)
	f.Add(`[1,2`)
	f.Add(``)
	f.Fuzz(func(t *testing.T, text string) {
		file := filepath.Join(t.TempDir(), "settings.json")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		n, err := (&settings.Node{File: file}).Reload()
		if err != nil {
			return
		}
		if n.Instance == "" || n.PlatformAddress == "" || n.MemoryMB <= 0 || n.StopGrace <= 0 || !(n.RetryRatio >= 0) || !(n.FixedRetries >= 0) {
			t.Errorf("%+v", n)
		}
	})
}
