package membership

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/placement"
	"teaselbank.example/teaselbank/platformclient"
)

// The platform serves a bounded number of reads, so only the first-ranked VMs of each zone read its list often:
// within the second that a leave may take to be seen. The others read it rarely, in case the readers fail.
const (
	listReaders        = 2
	readerInterval     = time.Second
	otherInterval      = 30 * time.Second
	unseededInterval   = time.Second
	listReaderRankName = "platform-vm-list"
)

func readList(ctx context.Context, t *Table, platform *platformclient.Client, logger *log.Logger) {
	var last time.Time
	seeded, failed := false, false
	ticker := t.clock.NewTicker(readerInterval)
	defer ticker.Stop()
	for {
		if now := t.clock.Now(); now.Sub(last) >= t.listInterval(seeded) {
			last = now
			vms, err := platform.VMs(ctx)
			if ctx.Err() == nil && (err != nil) != failed {
				failed = err != nil
				logger.Warn("vm_list", "readable", !failed, "err", err)
			}
			if err == nil {
				seeded = true
				t.ApplyList(listed(vms))
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// listInterval returns how long this VM waits between two reads.
func (t *Table) listInterval(seeded bool) time.Duration {
	if !seeded {
		return unseededInterval
	}
	view := t.View()
	for i, m := range placement.Rank(listReaderRankName, view.UsableIn(view.Self.Zone)) {
		if m.ID == view.Self.ID && i < listReaders {
			return readerInterval - readerInterval/10
		}
	}
	return otherInterval
}

func listed(vms []platformclient.VM) []membership.Listed {
	list := make([]membership.Listed, len(vms))
	for i, vm := range vms {
		list[i] = membership.Listed{ID: ident.VMID(vm.ID), Zone: ident.Zone(vm.Zone), Address: vm.PeerAddress, Leaving: vm.Leaving}
	}
	return list
}
