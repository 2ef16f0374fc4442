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

// process is a router as a process of its own.
type process struct {
	cmd  *exec.Cmd
	log  *logPipe
	done chan struct{} // is closed once it has ended

	mu  sync.Mutex
	rec ProcessRecord
}

// startProcess starts a router with a configuration file.
func startProcess(program []string, router int, config, logFile string) (*process, error) {
	log, write, err := newLogPipe(logFile)
	if err != nil {
		return nil, fmt.Errorf("soak: router %d: %w", router, err)
	}
	defer write.Close()                                                                               //nolint:errcheck // the process has its own
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

// signal sends a signal, and books those that end a process.
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

// freezeDescriptors lets the process open no further descriptor, until the function that it returns is called.
func (p *process) freezeDescriptors() (end func()) {
	pid := p.cmd.Process.Pid
	var before unix.Rlimit
	u, err := usageOf(pid)
	if err != nil || unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &before) != nil {
		return func() {} // it has ended
	}
	frozen := unix.Rlimit{Cur: uint64(u.Descriptors), Max: before.Max}
	unix.Prlimit(pid, unix.RLIMIT_NOFILE, &frozen, nil)                   //nolint:errcheck // as above
	return func() { unix.Prlimit(pid, unix.RLIMIT_NOFILE, &before, nil) } //nolint:errcheck // as above
}

// kill ends the process by SIGKILL.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// ended tells whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// watch books the process's usage.
func (p *process) sampleUsage() {
	u, err := usageOf(p.cmd.Process.Pid)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	most := &p.rec.Usage
	most.Descriptors, most.MemoryBytes, most.Threads = max(most.Descriptors, u.Descriptors), max(most.MemoryBytes, u.MemoryBytes), max(most.Threads, u.Threads)
}

func (p *process) record() ProcessRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rec
}

// usageOf reads a process's usage from the system.
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
		n, _ := strconv.ParseInt(fields[0], 10, 64) //nolint:errcheck // other lines hold no numbers
		switch name {
		case "VmRSS":
			u.MemoryBytes = n << 10
		case "Threads":
			u.Threads = int(n)
		}
	}
	return u, nil
}
