package dispatch

// maxRemoteShare is the share of a target's connections that the VMs of other zones may hold together while the
// target's own zone has VMs. VMs of other zones send to the target only when targets nearer to them do not serve.
const maxRemoteShare = 0.45

// defaultMaxConnections is the limit of a target whose service states none.
const defaultMaxConnections = 32

// FleetSize is the number of VMs that are assumed to share a target: in all zones, and in the target's zone.
type FleetSize struct {
	All, InZone int
	// Coordinators and CoordinatorsInZone count the VMs among them that send most requests to the target; 0 if all send
	// alike.
	Coordinators, CoordinatorsInZone int
	// Coordinator reports that this VM is one of them.
	Coordinator bool
}

// coordinatorConnections is the part of a target's connections that the coordinators divide equally among themselves. A
// search goes to one target of each shard, in whichever zone it is, so the zone of the target makes no difference.
const coordinatorConnections = 0.6

// forSenders returns the limit that this VM's kind of senders divides, and the number of VMs of that kind.
func (f FleetSize) forSenders(limit int) (int, FleetSize) {
	reserved := int(coordinatorConnections * float64(limit))
	return limit - reserved, FleetSize{All: f.All - f.Coordinators, InZone: max(0, f.InZone-f.CoordinatorsInZone)}
}

// ConnectionShare returns how many connections this VM may open to a target that accepts at most limit connections from
// all VMs together; a limit of 0 stands for the default. local says that this VM is in the target's zone. The shares of
// all VMs add up to at most the limit, unless there are more VMs than connections.
func ConnectionShare(limit int, fleet FleetSize, local bool) int {
	if limit <= 0 {
		limit = defaultMaxConnections
	}
	if fleet.Coordinators > 0 && fleet.Coordinators < fleet.All {
		if fleet.Coordinator {
			return max(1, int(coordinatorConnections*float64(limit))/fleet.Coordinators)
		}
		limit, fleet = fleet.forSenders(limit)
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
