package configuration

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"papayacroft/inventory"
	"papayacroft/provider"
)

// modelLog is an in-memory log stream with a simulated clock.
type modelLog struct {
	first   int64
	records []provider.Record
	now     time.Time
}

func newModelLog() *modelLog {
	return &modelLog{first: 1, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
}

func (log *modelLog) next() int64 {
	return log.first + int64(len(log.records))
}

func (log *modelLog) append(body []byte) {
	log.records = append(log.records, provider.Record{Offset: log.next(), At: log.now, Body: body})
}

func (log *modelLog) appendRecord(rec *Record) {
	body, err := rec.Serialize()
	if err != nil {
		panic(err)
	}
	log.append(body)
}

// publish appends a publish that sets one class; with a worth of 0 the publish is invalid.
func (log *modelLog) publish(id string, basedOn int64, class string, worth int) {
	value := fmt.Sprintf(`{"name":%q,"worth":%d,"deadline":"1s"}`, class, worth)
	log.appendRecord(&Record{Publish: &Publish{PublishID: id, BasedOn: basedOn, Author: "operator", Changes: []inventory.Change{
		{Kind: inventory.KindClass, Name: class, Value: []byte(value)},
	}}})
}

func (log *modelLog) expire(before int64) {
	for log.first < before && len(log.records) > 0 {
		log.records = log.records[1:]
		log.first++
	}
}

// read applies the records up to and including offset to, or up to the end of the log if to is 0.
func (log *modelLog) read(sta *State, to int64) []error {
	bat := provider.Batch{First: log.first, Next: log.next()}
	for _, rec := range log.records {
		if rec.Offset >= sta.Next && (to == 0 || rec.Offset <= to) {
			bat.Records = append(bat.Records, rec)
		}
	}
	if to > 0 {
		bat.Next = max(min(to+1, log.next()), log.first)
	}
	_, errs := sta.ApplyBatch(sta.Next, bat)
	return errs
}

// content formats the classes with their worth; the tests compare configurations by this text.
func content(cfg *inventory.Configuration) string {
	var sb strings.Builder
	for _, chg := range must(inventory.Diff(&inventory.Configuration{}, cfg)) {
		fmt.Fprintf(&sb, "%s=%v ", chg.Name, cfg.Classes[chg.Name].Worth)
	}
	return strings.TrimSpace(sb.String())
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

func snapshotOf(t interface{ Fatal(args ...any) }, sta *State) *Snapshot {
	snp, err := sta.View().Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return snp
}

func fetch(t testing.TB, sta, peer *State) {
	rep, err := peer.View().Answer(FetchRequest{Version: sta.Current.Number, ReadTo: sta.AppliedTo})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := sta.AdoptReply(rep); err != nil {
		t.Fatal(err)
	}
}
