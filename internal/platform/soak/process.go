package soak

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// process is a process of a router.
type process struct {
	cmd  *exec.Cmd
	log  *logPipe
	done chan struct{} // closed once the process has ended

	mu  sync.Mutex
	rec ProcessRecord
}

// startProcess starts a router with a configuration file. Its log goes to logFile.
func startProcess(program []string, router int, config, logFile string) (*process, error) {
	log, write, err := newLogPipe(logFile)
	if err != nil {
		return nil, fmt.Errorf("soak: router %d: %w", router, err)
	}
	defer write.Close()                                                                               //nolint:errcheck // the process has its own copy
	p := &process{cmd: exec.Command(program[0], program[1:]...), log: log, done: make(chan struct{})} //nolint:gosec // our own program
	p.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+config, "CHERRYHUB_LOG=debug")
	p.cmd.Stderr = write
	p.rec = ProcessRecord{Router: router, Started: time.Now()}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("soak: start router %d: %w", router, err)
	}
	go func() {
		err := p.cmd.Wait()
		p.mu.Lock()
		p.rec.Ended, p.rec.Err = time.Now(), err
		p.mu.Unlock()
		close(p.done)
	}()
	return p, nil
}

// signal sends a signal, and records the first SIGTERM and a SIGKILL.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	now := time.Now()
	switch {
	case s == syscall.SIGTERM && p.rec.Terminated.IsZero():
		p.rec.Terminated = now
	case s == syscall.SIGKILL && p.rec.Ended.IsZero():
		p.rec.Killed = now
	}
	p.mu.Unlock()
	p.cmd.Process.Signal(s) //nolint:errcheck // it may have ended
}

// freezeDescriptors keeps the process from opening further descriptors until the returned function is called.
func (p *process) freezeDescriptors() (restore func()) {
	pid := p.cmd.Process.Pid
	var before unix.Rlimit
	u, err := usageOf(pid)
	if err != nil || unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &before) != nil {
		return func() {} // it has ended
	}
	frozen := unix.Rlimit{Cur: uint64(u.Descriptors), Max: before.Max}
	unix.Prlimit(pid, unix.RLIMIT_NOFILE, &frozen, nil)                   //nolint:errcheck // it may have ended
	return func() { unix.Prlimit(pid, unix.RLIMIT_NOFILE, &before, nil) } //nolint:errcheck // it may have ended
}

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// sampleUsage records the process's resource usage if it exceeds earlier samples.
func (p *process) sampleUsage() {
	u, err := usageOf(p.cmd.Process.Pid)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	peak := &p.rec.Usage
	peak.Descriptors, peak.MemoryBytes, peak.Threads = max(peak.Descriptors, u.Descriptors), max(peak.MemoryBytes, u.MemoryBytes), max(peak.Threads, u.Threads)
}

func (p *process) record() ProcessRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rec
}

// usageOf reads a process's resource usage from /proc.
func usageOf(pid int) (u Usage, err error) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	files, err := os.ReadDir(filepath.Join(dir, "fd"))
	if err != nil {
		return u, fmt.Errorf("descriptors: %w", err)
	}
	u.Descriptors = len(files)
	text, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return u, fmt.Errorf("status: %w", err)
	}
	for line := range bytes.Lines(text) {
		name, value, _ := strings.Cut(string(line), ":")
		fields := strings.Fields(value)
		if len(fields) == 0 {
			continue
		}
		n, _ := strconv.ParseInt(fields[0], 10, 64) //nolint:errcheck // lines without a number are not used
		switch name {
		case "VmRSS":
			u.MemoryBytes = n << 10
		case "Threads":
			u.Threads = int(n)
		}
	}
	return u, nil
}
