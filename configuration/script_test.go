package configuration

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"papayacroft/inventory"
)

const scriptRetention = time.Hour

// TestScripts runs the scripts in testdata. The first line of each states the failure that it guards against.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d scripts, error %v; want some", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			arc, err := txtar.ParseFile(file)
			if err != nil {
				t.Fatal(err)
			}
			scr := &script{log: newModelLog(), nodes: map[string]*State{}}
			for number, line := range strings.Split(string(arc.Comment), "\n") {
				if line = strings.TrimSpace(line); line != "" && line[0] != '#' {
					t.Logf("line %d: %s", number+1, line)
					scr.run(t, strings.Fields(line))
				}
			}
		})
	}
}

type script struct {
	log    *modelLog
	nodes  map[string]*State
	errors int
}

func (scr *script) run(t *testing.T, args []string) {
	node := func(name string) *State {
		if scr.nodes[name] == nil {
			t.Fatalf("node %q does not exist", name)
		}
		return scr.nodes[name]
	}
	switch args[0] {
	case "node": // node NAME: creates a daemon with an empty state
		scr.nodes[args[1]] = NewState()
	case "publish": // publish ID BASE CLASS WORTH: appends a publish that sets the worth of a class
		scr.log.publish(args[1], int64(number(t, args[2])), args[3], number(t, args[4]))
	case "garbage": // garbage: appends a record that is not valid JSON
		scr.log.append([]byte("{"))
	case "snapshot": // snapshot NODE: appends a snapshot of the node's state
		scr.log.appendRecord(&Record{Snapshot: snapshotOf(t, node(args[1]))})
	case "restore": // restore NODE CLASS WORTH: appends an operator's restore with one class, based on the node's version
		held := node(args[1])
		cfg := must((&inventory.Configuration{}).Apply([]inventory.Change{{
			Kind: inventory.KindClass, Name: args[2], Value: fmt.Appendf(nil, `{"name":%q,"worth":%s,"deadline":"1s"}`, args[2], args[3]),
		}}))
		scr.log.appendRecord(&Record{Snapshot: must(Restore(scr.log.now, "restored", "operator",
			[]ReportedVersion{{held.Current.Number, held.Current.Offset, held.Outcomes}}, scr.log.next(), cfg))})
	case "expire": // expire OFFSET: removes the records before the offset
		scr.log.expire(int64(number(t, args[1])))
	case "later": // later DURATION: advances the clock
		dur, err := time.ParseDuration(args[1])
		if err != nil {
			t.Fatal(err)
		}
		scr.log.now = scr.log.now.Add(dur)
	case "read": // read NODE [OFFSET]: the node applies the records up to the offset, or all
		to := 0
		if len(args) > 2 {
			to = number(t, args[2])
		}
		scr.errors = len(scr.log.read(node(args[1]), int64(to)))
	case "fetch": // fetch NODE PEER: the node fetches the newest version from the peer
		fetch(t, node(args[1]), node(args[2]))
	case "want": // want NODE FIELD VALUE...: compares a field of the node's state
		scr.want(t, node(args[1]), args[2], strings.Join(args[3:], " "))
	default:
		t.Fatalf("command %q is not known", args[0])
	}
}

func (scr *script) want(t *testing.T, sta *State, field, want string) {
	t.Helper()
	var got string
	switch field {
	case "version":
		got = strconv.FormatInt(sta.Current.Number, 10)
	case "next":
		got = strconv.FormatInt(sta.Next, 10)
	case "content":
		got = content(sta.Current.Configuration)
	case "behind":
		got = strconv.FormatBool(sta.Behind())
	case "snapshotDue":
		got = strconv.FormatBool(sta.SnapshotDue(scr.log.now, scriptRetention))
	case "errors":
		got = strconv.Itoa(scr.errors)
	case "outcomes":
		var all []string
		for _, out := range sta.Outcomes {
			all = append(all, fmt.Sprintf("%s:%s:%d", out.PublishID, out.Verdict, out.Version))
		}
		got = strings.Join(all, " ")
	default:
		t.Fatalf("field %q is not known", field)
	}
	if got != want {
		t.Errorf("got %s %q; want %q", field, got, want)
	}
}

func number(t *testing.T, text string) int {
	value, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return value
}
