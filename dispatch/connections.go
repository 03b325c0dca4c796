package dispatch

// maxRemoteShare is the share of a target's connections that the VMs of other zones may hold together while the
// target's own zone has VMs. VMs of other zones send to the target only when targets nearer to them do not serve.
const maxRemoteShare = 0.45

// defaultMaxConnections is the limit of a target whose service states none.
const defaultMaxConnections = 32

// FleetSize is the number of VMs that are assumed to share a target: in all zones, and in the target's zone.
type FleetSize struct {
	All, InZone int
}

// ConnectionShare returns how many connections this VM may open to a target that accepts at most limit connections from
// all VMs together; a limit of 0 stands for the default. local says that this VM is in the target's zone. The shares of
// all VMs add up to at most the limit, unless there are more VMs than connections.
func ConnectionShare(limit int, fleet FleetSize, local bool) int {
	if limit <= 0 {
		limit = defaultMaxConnections
	}
	all := max(1, fleet.All)
	inZone := max(0, min(fleet.InZone, all))
	if local {
		inZone = max(1, inZone)
	} else {
		all = max(all, inZone+1)
	}
	remoteVMs := all - inZone
	if inZone == 0 {
		return max(1, limit/all)
	}
	perRemote := 0
	if remoteVMs > 0 {
		perRemote = max(1, min(int(maxRemoteShare*float64(limit)), limit-inZone)/remoteVMs)
	}
	if !local {
		return perRemote
	}
	return max(1, (limit-perRemote*remoteVMs)/inZone)
}
