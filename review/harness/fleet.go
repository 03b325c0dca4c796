package main

import (
	"fmt"
	"math/rand/v2"
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

// Node is one machine of the system with its daemon.
type Node struct {
	Name, Zone, IP            string
	Front, Readiness, Control string
	storeAddr, settings, log  string
	cmd                       *exec.Cmd
}

// Fleet is a small deployment on loopback addresses.
type Fleet struct {
	rec   *Record
	Store *Store
	Nodes []*Node
	root  string
	temp  string
	block int
	mu    sync.Mutex
	leafs []*Leaf
}

var zoneNames = []string{"petrosani", "lupeni", "vulcan"}

// newFleet prepares machines, counted by zone, and the store.
func newFleet(rec *Record, root string, perZone []int) (*Fleet, error) {
	temp, err := os.MkdirTemp("", "teaselbank-review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{rec: rec, Store: newStore(), root: root, temp: temp, block: freeBlock()}
	for z, n := range perZone {
		for i := range n {
			ip := fmt.Sprintf("127.%d.%d.%d", f.block, z+1, i+10)
			node := &Node{Name: fmt.Sprintf("front-%s-%d", zoneNames[z], i+1), Zone: zoneNames[z], IP: ip, Front: ip + ":8226", Readiness: ip + ":8227", Control: ip + ":8224",
				storeAddr: fmt.Sprintf("127.%d.200.%d:8229", f.block, len(f.Nodes)+1)}
			f.Nodes = append(f.Nodes, node)
			if err := f.Store.serve(node.storeAddr, node.Name); err != nil {
				return nil, err
			}
		}
	}
	for _, n := range f.Nodes {
		n.settings, n.log = filepath.Join(temp, n.Name+".toml"), filepath.Join(temp, n.Name+".log")
		if err := os.WriteFile(n.settings, []byte(f.settingsOf(n)), 0o600); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// freeBlock returns the second number of loopback addresses that no other fleet uses.
func freeBlock() int {
	for {
		block := 20 + rand.IntN(200)
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.200.1:8229", block))
		if err != nil {
			continue
		}
		_ = l.Close()
		return block
	}
}

func (f *Fleet) settingsOf(n *Node) string {
	var seeds, zones []string
	seen := map[string]bool{}
	for _, o := range f.Nodes {
		if !seen[o.Zone] {
			seen[o.Zone] = true
			seeds = append(seeds, fmt.Sprintf("%q", o.Control))
			zones = append(zones, o.Zone+" = \"valea-jiului\"")
		}
	}
	return fmt.Sprintf(`node_name = %q
role = "front"
machine_class = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "valea-jiului"
port_range = [7740,7755]
seeds = [%s]
bootstrap = true
counts_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
policies = ["base","drain","config","cost","retry","recover","scatter","places","platform"]
[zones]
%s
[listen]
front = %q
readiness = %q
control = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 4000
ack_ms = 5000
sync_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
apply_ms = 3000
revert_ms = 250
max_skew_ms = 12000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 56
cold_over = 1.5
cold_slack = 5
evacuate_ms = 5000
recovery_s = 12
[platform]
address = %q
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, n.Name, n.IP, n.Zone, strings.Join(seeds, ","), strings.Join(zones, "\n"), n.Front, n.Readiness, n.Control, n.storeAddr)
}

// Start starts the daemon of a machine with the command of the deploy file.
func (f *Fleet) Start(n *Node) error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	n.cmd = exec.Command("target/teaselbankd")
	n.cmd.Dir = f.root
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TEASELBANK_NODE_FILE=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	f.rec.Log("start", "machine", n.Name, "pid", n.cmd.Process.Pid)
	return nil
}

// Signal sends a signal to a daemon.
func (f *Fleet) Signal(n *Node, sig syscall.Signal) {
	f.rec.Log("signal", "machine", n.Name, "signal", sig)
	_ = n.cmd.Process.Signal(sig)
}

// Kill ends a daemon at once and waits for its end.
func (f *Fleet) Kill(n *Node) {
	f.Signal(n, syscall.SIGKILL)
	_ = n.cmd.Wait()
}

func (f *Fleet) ready(n *Node) bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + n.Readiness + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until all machines count as ready.
func (f *Fleet) WaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, n := range f.Nodes {
		for !f.ready(n) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %s", n.Name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// StartAll starts all machines and waits until they are ready.
func (f *Fleet) StartAll() error {
	for _, n := range f.Nodes {
		if err := f.Start(n); err != nil {
			return err
		}
	}
	return f.WaitReady(20 * time.Second)
}

// Leaf starts a leaf in a zone and registers it.
func (f *Fleet) Leaf(id, service, zone string, work time.Duration, gather bool) (*Leaf, error) {
	l, err := startLeaf(f.rec, id, service, zone, fmt.Sprintf("127.%d.100.%d", f.block, len(f.leafs)%200+1), work, gather)
	if err != nil {
		return nil, err
	}
	f.leafs = append(f.leafs, l)
	f.Store.Put("servers/"+id, l.entry("ready"))
	return l, nil
}

func (f *Fleet) node(name string) *Node {
	for _, n := range f.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// Close ends all processes and removes the settings; with KEEP set, the logs stay.
func (f *Fleet) Close() {
	for _, n := range f.Nodes {
		if n.cmd != nil && n.cmd.ProcessState == nil {
			_ = n.cmd.Process.Kill()
			_ = n.cmd.Wait()
		}
	}
	for _, l := range f.leafs {
		l.Exit()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", f.temp)
		return
	}
	_ = os.RemoveAll(f.temp)
}
