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

// Readers of the platform's list of VMs. The platform serves a bounded number of reads, so only the first
// readersPerZone ranked VMs of each zone read the list often, every second, because a leave has to be noticed within a
// second. The other VMs read the list rarely, in case these readers fail.
const (
	readersPerZone    = 2
	readerInterval    = time.Second
	nonReaderInterval = 30 * time.Second
	firstReadInterval = time.Second
	readerRankKey     = "platform-vm-list"
)

func pollVMList(ctx context.Context, d *Detector, platform *platformclient.Client, logger *log.Logger) {
	var last time.Time
	haveList, failed, lastUnreadable := false, false, 0
	ticker := d.clock.NewTicker(readerInterval)
	defer ticker.Stop()
	for {
		if now := d.clock.Now(); now.Sub(last) >= d.listInterval(haveList) {
			last = now
			vms, unreadable, err := platform.VMs(ctx)
			if ctx.Err() == nil && ((err != nil) != failed || unreadable != lastUnreadable) {
				failed, lastUnreadable = err != nil, unreadable
				logger.Warn("vm_list", "readable", !failed, "unreadable_entries", unreadable, "err", err)
			}
			if err == nil {
				haveList = true
				d.ApplyList(toListed(vms))
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// listInterval returns the interval between this VM's reads of the list. haveList reports that a read has succeeded.
func (d *Detector) listInterval(haveList bool) time.Duration {
	if !haveList {
		return firstReadInterval
	}
	view := d.View()
	for i, m := range placement.Rank(readerRankKey, view.UsableIn(view.Self.Zone)) {
		if m.ID == view.Self.ID && i < readersPerZone {
			// Less than the ticker's interval, so that a tick which comes slightly early is not skipped.
			return readerInterval - readerInterval/10
		}
	}
	return nonReaderInterval
}

func toListed(vms []platformclient.VM) []membership.ListedVM {
	list := make([]membership.ListedVM, len(vms))
	for i, vm := range vms {
		list[i] = membership.ListedVM{ID: ident.VMID(vm.ID), Zone: ident.Zone(vm.Zone), Address: vm.PeerAddress, Leaving: vm.Leaving}
	}
	return list
}
