package claim_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/uuid"

	"papayacroft/claim"
	"papayacroft/inventory"
	"papayacroft/provider"
	"papayacroft/standin"
)

const (
	// shardRecords records of claimsPerRecord claims each are one shard's claims of 65 min at 500 votes/s.
	shardRecords    = 195_000
	claimsPerRecord = 2
)

func voterKey() string {
	return claim.KeyDigest(inventory.TeamRef{Organisation: "rimu", Team: "members"}, uuid.NewString())
}

// fillShards appends the same records of claims to every shard.
func fillShards(tb testing.TB, log *provider.HTTPLog, records int) {
	tb.Helper()
	for range records {
		var rec claim.Record
		for range claimsPerRecord {
			rec.Claims = append(rec.Claims, claim.Claim{
				ID: uuid.NewString(), KeyDigest: voterKey(), BodyDigest: claim.BodyDigest("POST", "/ballots", nil), Claimant: "entry-1", Address: "127.0.0.1:1",
			})
		}
		body, err := rec.Serialize()
		if err != nil {
			tb.Fatal(err)
		}
		for shard := range claim.Shards {
			if _, err := log.Append(context.Background(), claim.StreamName(shard), body); err != nil {
				tb.Fatal(err)
			}
		}
	}
}

// BenchmarkFreshWriter reports how many claims a daemon that has just started refuses, while it reads full shards,
// before the first one succeeds.
func BenchmarkFreshWriter(b *testing.B) {
	server := httptest.NewServer(standin.NewLog(1 << 30).Handler())
	defer server.Close()
	log := provider.NewHTTPLog(server.URL)
	fillShards(b, log, shardRecords)
	for b.Loop() {
		acq := claim.NewAcquirer(log, "entry-2", "127.0.0.1:2")
		for refused := 0; ; refused++ {
			ctx, cancel := context.WithTimeout(context.Background(), claim.AcquireTimeout)
			_, own, err := acq.Acquire(ctx, voterKey(), claim.BodyDigest("POST", "/ballots", nil), "")
			cancel()
			if own && err == nil {
				b.ReportMetric(float64(refused), "refused")
				break
			}
			if time.Duration(refused)*claim.AcquireTimeout > time.Minute {
				b.Fatalf("still refused after %d votes: %v", refused, err)
			}
		}
	}
}
