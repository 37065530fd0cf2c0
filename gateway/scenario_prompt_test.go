package gateway_test

import "papayacroft/standin"

// runPrompt runs commands for prompts that crash engines; it returns false for other commands.
func (sit *site) runPrompt(args []string) bool {
	switch args[0] {
	case "deadly": // deadly PART [EVENTS [FORM]]: from now on, a request with this part in its prompt crashes each engine that begins to answer it, after so many events
		dly := standin.DeadlyPart{ID: args[1]}
		if len(args) > 2 {
			dly.Events = sit.number(args[2])
		}
		if len(args) > 3 {
			dly.Form = standin.DeadlyForm(args[3])
		}
		sit.pool.SetDeadlyPart(dly)
	case "prompt": // prompt NAME DAEMON ROUTE EVENTS PARTS: starts a request for a stream whose prompt has these parts
		sit.startPrompt(args[1], args[2], "/"+args[3]+"/x?events="+args[4], args[5], nil)
	case "finished": // finished CALL: waits until the call has ended in any way
		sit.finished(args[1])
	case "running": // running CALL: its one run has not been cut
		if runs := sit.runs(args[1], nil); len(runs) != 1 || runs[0].CallerDisconnected {
			sit.fatalf("got runs %+v, want one that has not been cut", runs)
		}
	case "replaceCrashed": // replaceCrashed: removes the entry of each crashed engine and starts a new engine in its place
		sit.replaceCrashed()
	default:
		return false
	}
	return true
}

func (sit *site) replaceCrashed() {
	var crashed []string
	for id, edp := range sit.engines {
		if edp.crashed.Swap(false) {
			crashed = append(crashed, id)
		}
	}
	for _, id := range crashed {
		edp := sit.engines[id]
		sit.store.Put("keyed.servers", id, nil)
		sit.startEngine([]string{id + "n", edp.service, edp.domain})
	}
}
