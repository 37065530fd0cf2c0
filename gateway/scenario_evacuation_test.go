package gateway_test

import (
	"strings"
)

// runEvacuation runs commands for the evacuation of failure domains; it returns false for other commands.
func (sit *site) runEvacuation(args []string) bool {
	switch args[0] {
	case "evacuate": // evacuate DOMAIN: the operator evacuates a failure domain
		sit.store.Put("keyed.op", "evacuate/"+args[1], []byte("{}"))
	case "lift": // lift DOMAIN: the operator lifts the evacuation
		sit.store.Put("keyed.op", "evacuate/"+args[1], nil)
	case "operator": // operator KEY VALUE: the operator writes another record
		sit.store.Put("keyed.op", args[1], []byte(strings.Join(args[2:], " ")))
	case "forget": // forget TOPIC KEY: the store drops the newest record of a key without a record of that
		sit.store.Forget(args[1], args[2])
	case "evacuated": // evacuated DOMAIN [DAEMON...]: waits until these daemons, or all, know that the failure domain is evacuated
		sit.awaitEvacuated(args[1], true, args[2:])
	case "lifted": // lifted DOMAIN [DAEMON...]: waits until these daemons, or all, know that it is not evacuated
		sit.awaitEvacuated(args[1], false, args[2:])
	case "idles": // idles ENGINE: the endpoint has got no request since the command count, continued ones included
		if got := len(sit.countedRuns(args[1])); got > 0 {
			sit.fatalf("got %d runs, want none", got)
		}
	default:
		return false
	}
	return true
}

func (sit *site) awaitEvacuated(domain string, want bool, daemons []string) {
	for name, dmn := range sit.daemons {
		if len(daemons) > 0 && daemons[0] != name {
			continue
		}
		sit.await("the evacuation at "+name, func() bool {
			evs := dmn.Control.Snapshot().Fleet.Evacuations
			return !evs.Unread && evs.Has(domain) == want
		})
	}
}
