package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the node process", func() {
	// exitTimeout limits the wait for the process to exit; it is not a performance target.
	const exitTimeout = 60 * time.Second

	// Guards against signals that terminate a process which has just been started (soak, seed 8006): SIGHUP must not terminate it,
	// and SIGTERM starts a planned stop. The settings file is a named pipe, so that the process blocks on reading it meanwhile.
	It("handles signals before it has read its settings", func() {
		dir := GinkgoT().TempDir()
		binary, pipe := filepath.Join(dir, "tanagerwood"), filepath.Join(dir, "settings.json")
		out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
		Expect(syscall.Mkfifo(pipe, 0o600)).To(Succeed())
		var log bytes.Buffer
		cmd := exec.Command(binary, "node", "-settings", pipe)
		cmd.Stdout, cmd.Stderr = &log, &log
		Expect(cmd.Start()).To(Succeed())
		DeferCleanup(func() { _ = cmd.Process.Kill() })
		ended := make(chan error, 1)
		go func() { ended <- cmd.Wait() }()

		// The open returns once the process has opened its end, which is after it has subscribed to the signals.
		settings, err := os.OpenFile(pipe, os.O_WRONLY, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
		Expect(cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Consistently(ended, 300*time.Millisecond).ShouldNot(Receive())
		content := `{"instance":"i","domain":"z","caller-listen":"127.0.0.1:0","ready-listen":"127.0.0.1:0",
			"peer-listen":"127.0.0.1:0","platform-address":"127.0.0.1:1","memory-mb":134,"stop-grace":"8s"}`
		// SIGHUP makes the process reload the settings, which are in a regular file by then.
		Expect(os.Remove(pipe)).To(Succeed())
		Expect(os.WriteFile(pipe, []byte(content), 0o600)).To(Succeed())
		_, err = settings.WriteString(content)
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Close()).To(Succeed())
		Eventually(ended, exitTimeout).Should(Receive(BeNil()))
		Expect(log.String()).To(SatisfyAll(ContainSubstring("settings.reloaded"), ContainSubstring("process.stopped")))
	})
})
