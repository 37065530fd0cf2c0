package main

import (
	"context"
	"sort"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"papayacroft/daemon"
	"papayacroft/membership"
)

// parallelCalls is the maximum number of daemons that the client queries at the same time.
const parallelCalls = 32

// statusRow holds the status that one daemon returned, or the error. Member is its entry in the member list of
// another daemon.
type statusRow struct {
	Name    string             `json:"name,omitempty"`
	Address string             `json:"address,omitempty"`
	Status  *daemon.Status     `json:"status,omitempty"`
	Member  *membership.Member `json:"member,omitempty"`
	Error   string             `json:"error,omitempty"`
}

// label returns the name and address of the VM, as far as they are known.
func (row *statusRow) label() string {
	switch {
	case row.Name == "":
		return row.Address
	case row.Address == "":
		return row.Name
	default:
		return row.Name + " (" + row.Address + ")"
	}
}

// survey queries the status of the given daemons, and then of all others that these know through gossip.
func (opt *options) survey(ctx context.Context) []*statusRow {
	rows := make([]*statusRow, 0, len(opt.daemons))
	for _, address := range opt.daemons {
		rows = append(rows, &statusRow{Address: address})
	}
	queryStatus(ctx, rows)
	rows = withMembers(rows)
	queryStatus(ctx, rows)
	sort.SliceStable(rows, func(i, j int) bool { return rows[i].Name < rows[j].Name })
	return rows
}

// refresh queries again the VMs that have not confirmed. If the address of any VM is unknown, it repeats the survey
// instead, because a daemon may have learnt that address in the meantime.
func (opt *options) refresh(ctx context.Context, rows []*statusRow, confirmed map[string]bool) []*statusRow {
	for _, row := range rows {
		if row.Address == "" {
			return opt.survey(ctx)
		}
		if !confirmed[row.label()] {
			row.Status, row.Error = nil, ""
		}
	}
	queryStatus(ctx, rows)
	return rows
}

// queryStatus queries the status of all rows that have an address and neither a status nor an error yet.
func queryStatus(ctx context.Context, rows []*statusRow) {
	var grp errgroup.Group
	grp.SetLimit(parallelCalls)
	for _, row := range rows {
		if row.Status != nil || row.Address == "" || row.Error != "" {
			continue
		}
		grp.Go(func() error {
			sta, err := adminClient{row.Address}.status(ctx)
			if err != nil {
				row.Error = trace.UserMessage(err)
				return nil
			}
			row.Status, row.Name = sta, sta.Name
			return nil
		})
	}
	_ = grp.Wait()
}

// unreadVMList is the name of a row that is added if no daemon that answered has read the platform's VM list yet.
// The row stands for the VMs that the list may contain.
const unreadVMList = "the platform's VM list"

// withMembers adds rows for the daemons and the VMs of the platform's list that are named in the answers.
func withMembers(rows []*statusRow) []*statusRow {
	byName, byAddress := map[string]*statusRow{}, map[string]*statusRow{}
	for _, row := range rows {
		byName[row.Name], byAddress[row.Address] = row, row
	}
	answers := rows
	add := func(row *statusRow) {
		if byName[row.Name] != nil {
			return
		}
		byName[row.Name] = row
		rows = append(rows, row)
	}
	for _, one := range answers {
		if one.Status == nil {
			continue
		}
		for _, mem := range one.Status.Members {
			if row := byAddress[mem.AdminAddress]; row != nil {
				row.Name, row.Member = mem.Name, &mem
				byName[mem.Name] = row
				continue
			}
			if mem.State != membership.StateGone {
				add(&statusRow{Name: mem.Name, Address: mem.AdminAddress, Member: &mem})
			}
		}
	}
	for _, row := range listedRows(answers) {
		add(row)
	}
	return rows
}

// listedRows returns rows for the live VMs of the platform's list that have no known daemon,
// or a row for the list itself if no daemon that answered has read it.
func listedRows(answers []*statusRow) []*statusRow {
	var rows []*statusRow
	answered, listRead := false, false
	for _, one := range answers {
		if one.Status == nil {
			continue
		}
		answered, listRead = true, listRead || !one.Status.VMsReadAt.IsZero()
		for _, name := range one.Status.VMsWithoutDaemon {
			rows = append(rows, &statusRow{Name: name, Error: "the platform lists it as live, but its daemon is unknown or gone"})
		}
	}
	if answered && !listRead {
		rows = append(rows, &statusRow{Name: unreadVMList, Error: "no daemon that answered has read it, so it may name other VMs"})
	}
	return rows
}
