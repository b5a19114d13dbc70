package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/registrar"
)

// instanceNames are in the order of the instances' ports.
var instanceNames = []string{"a", "b", "c"}

type deploymentOptions struct {
	program      string
	settings     string
	declarations string
	ports        string
}

// deployment is three instances as processes, each with its own data folder.
type deployment struct {
	options   deploymentOptions
	folder    string
	tokenFile string
	clients   map[string]*registrar.Client
	// revision is the last accepted revision of the configuration.
	revision uint64
	// keepFolder keeps the folder with the logs on close.
	keepFolder bool

	mu             sync.Mutex
	processes      map[string]*exec.Cmd
	killedInstance string
	killedAt       time.Time
}

func newDeployment(options deploymentOptions) (*deployment, error) {
	program, err := filepath.Abs(options.program)
	if err != nil {
		return nil, errors.Wrap(err, "program")
	}
	options.program = program
	folder, err := os.MkdirTemp("", "smoke-")
	if err != nil {
		return nil, errors.Wrap(err, "folder")
	}
	d := &deployment{
		options: options, folder: folder, tokenFile: filepath.Join(folder, "operator.token"),
		clients: map[string]*registrar.Client{}, processes: map[string]*exec.Cmd{},
	}
	if err := d.copySettings(); err != nil {
		return nil, err
	}
	token, err := os.ReadFile(d.tokenFile)
	if err != nil {
		return nil, errors.Wrap(err, "token")
	}
	for _, name := range instanceNames {
		d.clients[name], err = registrar.NewClient(registrar.ClientOptions{
			Addresses: []netip.AddrPort{netip.MustParseAddrPort(d.address(name, operatorPort))},
			Token:     strings.TrimSpace(string(token)), Timeout: time.Second,
		})
		if err != nil {
			return nil, err
		}
	}
	return d, nil
}

// copySettings copies the settings of the example, so that the instances start
// with new data folders and may use other ports.
func (d *deployment) copySettings() error {
	for _, pattern := range []string{"*.toml", "*.token"} {
		files, err := filepath.Glob(filepath.Join(d.options.settings, pattern))
		if err != nil {
			return errors.Wrap(err, "settings")
		}
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				return errors.Wrap(err, "settings")
			}
			adapted := strings.ReplaceAll(string(text), "127.0.0.1:76", "127.0.0.1:"+d.options.ports)
			if err := os.WriteFile(filepath.Join(d.folder, filepath.Base(file)), []byte(adapted), 0o600); err != nil {
				return errors.Wrap(err, "settings")
			}
		}
	}
	return nil
}

// The last digit of a port identifies the listener.
const (
	callerPort = iota
	upstreamPort
	operatorPort
)

func (d *deployment) address(name string, port int) string {
	for number, known := range instanceNames {
		if known == name {
			return fmt.Sprintf("127.0.0.1:%s%d%d", d.options.ports, number, port)
		}
	}
	return ""
}

func (d *deployment) addresses(port int) []string {
	var all []string
	for _, name := range instanceNames {
		all = append(all, d.address(name, port))
	}
	return all
}

// start starts an instance with the settings of the example and appends its
// output to a log file. The process is killed when ctx ends.
func (d *deployment) start(ctx context.Context, name string) error {
	log, err := os.OpenFile(filepath.Join(d.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer log.Close()
	process := exec.CommandContext(ctx, d.options.program, "serve", filepath.Join(d.folder, "instance-"+name+".toml"))
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return errors.Wrapf(err, "start %s", name)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes[name] = process
	return nil
}

// removeProcess returns the process of an instance and removes it from the
// deployment.
func (d *deployment) removeProcess(name string) *exec.Cmd {
	d.mu.Lock()
	defer d.mu.Unlock()
	process := d.processes[name]
	delete(d.processes, name)
	return process
}

// runningInstances returns the names of the instances that have a process.
func (d *deployment) runningInstances() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []string
	for _, name := range instanceNames {
		if d.processes[name] != nil {
			all = append(all, name)
		}
	}
	return all
}

// interruptedByKill reports whether a connection to address that just broke did
// so because its instance was killed.
func (d *deployment) interruptedByKill(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	const killGracePeriod = 2 * time.Second
	return !d.killedAt.IsZero() && address == d.address(d.killedInstance, callerPort) && time.Since(d.killedAt) < killGracePeriod
}

// runCommand runs an operator command against the given instances.
func (d *deployment) runCommand(ctx context.Context, instances []string, arguments ...string) error {
	for _, name := range instances {
		arguments = append(arguments, "--operator-address", d.address(name, operatorPort))
	}
	arguments = append(arguments, "--token-file", d.tokenFile)
	output, err := exec.CommandContext(ctx, d.options.program, arguments...).CombinedOutput()
	return errors.Wrapf(err, "%s: %s", strings.Join(arguments, " "), output)
}

func (d *deployment) close() {
	for _, name := range instanceNames {
		if process := d.removeProcess(name); process != nil {
			_ = process.Process.Kill()
			_ = process.Wait()
		}
	}
	if !d.keepFolder {
		_ = os.RemoveAll(d.folder)
	}
}
