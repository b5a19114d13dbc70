package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// heartbeatInterval is HeartbeatMs.
const heartbeatInterval = 1200 * time.Millisecond

// bounds are those values of the settings that differ between sites.
type bounds struct {
	contact, drain, configApply time.Duration
	catchUpSeconds              int
	recovery                    time.Duration
	machines                    int
	memoryMegabytes             int
}

// jurylineBounds and coyoyBounds are those of the sites juryline and coyoy-patio-grown.
var (
	jurylineBounds = bounds{
		contact: 3000 * time.Millisecond, drain: 2000 * time.Millisecond, configApply: 2000 * time.Millisecond,
		catchUpSeconds: 4, recovery: 12 * time.Second, machines: 1, memoryMegabytes: 284,
	}
	coyoyBounds = bounds{
		contact: 4000 * time.Millisecond, drain: 2500 * time.Millisecond, configApply: 2500 * time.Millisecond,
		catchUpSeconds: 6, recovery: 15 * time.Second, machines: 2, memoryMegabytes: 284,
	}
)

// Ports of the processes. They are the same on all machines.
const (
	frontPort     = 8149
	readyPort     = 8141
	controlPort   = 8144
	directoryPort = 8145
	innerPort     = 7380
)

// runCommand is the command of the deploy file.
var runCommand = []string{"target/lovagelift", "provider"}

// deployment is the processes under test with their loopback addresses.
type deployment struct {
	dir      string
	network  string
	bounds   bounds
	controls []*machine
	entries  []*machine
}

// machine is one machine with one process.
type machine struct {
	name, ip, zone string
	control        bool
	settings       string
	dataDir        string

	mu        sync.Mutex
	command   *exec.Cmd
	exited    chan struct{}
	startedAt time.Time
}

// newDeployment lays out 5 control instances and 3 entry instances in three zones.
func newDeployment(dir string) (*deployment, error) {
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, network: network, bounds: jurylineBounds}
	for i, zone := range []string{"a", "b", "c", "a", "b"} {
		d.controls = append(d.controls, d.newMachine(fmt.Sprintf("core-%s-%d", zone, i+1), 1+i, zone, true))
	}
	for i, zone := range []string{"a", "b", "c"} {
		d.entries = append(d.entries, d.newMachine(fmt.Sprintf("front-%s-%d", zone, i+1), 11+i, zone, false))
	}
	return d, nil
}

// freeNetwork returns the first three octets of loopback addresses that nobody listens on.
func freeNetwork() (string, error) {
	for attempt := range 200 {
		network := fmt.Sprintf("127.%d.%d", 60+(os.Getpid()+attempt)%150, (os.Getpid()/150)%250)
		listener, err := net.Listen("tcp", network+".1:9464")
		if err == nil {
			return network, listener.Close()
		}
	}
	return "", errors.New("no free loopback addresses")
}

func (d *deployment) newMachine(name string, number int, zone string, control bool) *machine {
	m := &machine{name: name, ip: fmt.Sprintf("%s.%d", d.network, number), zone: zone, control: control}
	m.settings = filepath.Join(d.dir, name+".yaml")
	if control {
		m.dataDir = filepath.Join(d.dir, "disk-"+name)
	}
	return m
}

// yaml returns the settings file of a machine.
func (d *deployment) yaml(m *machine, bootstrap bool) string {
	class, serves, disk := "front", []string{"front", "directory"}, 0
	listen := map[string]string{"Front": m.address(frontPort), "Ready": m.address(readyPort), "Directory": m.address(directoryPort)}
	if m.control {
		class, serves, disk = "core", []string{"control"}, 128
		listen = map[string]string{"Control": m.address(controlPort)}
	}
	var seeds []string
	for _, seed := range d.controls[:3] {
		seeds = append(seeds, seed.address(controlPort))
	}
	return render("settings.yaml.tmpl", map[string]any{
		"Name": m.name, "Class": class, "Serves": serves, "IP": m.ip, "Zone": m.zone, "Listen": listen,
		"InnerPort": innerPort, "LastPort": innerPort + 15, "Seeds": seeds, "Bootstrap": bootstrap, "Control": m.control,
		"MemoryMegabytes": d.bounds.memoryMegabytes, "DiskMegabytes": disk, "DataDir": m.dataDir,
		"HeartbeatMillis": heartbeatInterval.Milliseconds(), "Machines": d.bounds.machines,
		"ContactMillis": d.bounds.contact.Milliseconds(), "CatchUpSeconds": d.bounds.catchUpSeconds,
		"DrainMillis": d.bounds.drain.Milliseconds(), "ApplyMillis": d.bounds.configApply.Milliseconds(),
		"RecoverySeconds": d.bounds.recovery.Seconds(),
	})
}

// all returns all machines.
func (d *deployment) all() []*machine {
	return append(append([]*machine{}, d.controls...), d.entries...)
}

// start starts all processes for the first time.
func (d *deployment) start() error {
	for _, m := range d.all() {
		if err := os.WriteFile(m.settings, []byte(d.yaml(m, true)), 0o600); err != nil {
			return err
		}
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// endFirstStart rewrites the settings files once the system works: later starts are no first starts.
func (d *deployment) endFirstStart() error {
	for _, m := range d.all() {
		if err := os.WriteFile(m.settings, []byte(d.yaml(m, false)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// stop kills all processes and waits for their ends.
func (d *deployment) stop() {
	for _, m := range d.all() {
		m.kill()
	}
}

// start starts the process of the machine.
func (m *machine) start() error {
	log, err := os.OpenFile(m.settings+".log", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(runCommand[0], runCommand[1:]...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wire.SettingsVariable + "=" + m.settings}
	command.Stdout, command.Stderr = log, log
	// A process must not outlive this one.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		// The end of a process that was killed is no error here.
		_ = command.Wait()
		close(exited)
	}()
	m.command, m.exited, m.startedAt = command, exited, time.Now()
	return nil
}

// signal sends a signal to the process.
func (m *machine) signal(signal syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		_ = m.command.Process.Signal(signal)
	}
}

// kill kills the process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// hasExited reports whether the process has ended by itself.
func (m *machine) hasExited() bool {
	select {
	case <-m.exited:
		return true
	default:
		return false
	}
}

func (m *machine) address(port int) string {
	return fmt.Sprintf("%s:%d", m.ip, port)
}

// call sends one HTTP request over a connection of its own and returns the status and the body.
func call(method, url, body string, timeout time.Duration) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	content, err := readAll(response.Body)
	return response.StatusCode, content, err
}
