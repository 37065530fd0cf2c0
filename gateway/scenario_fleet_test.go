package gateway_test

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// runFleet runs commands that wait for metrics or for a state of all daemons; it returns false for other commands.
func (sit *site) runFleet(args []string) bool {
	switch args[0] {
	case "metric": // metric DAEMON NAME above|below VALUE: waits until the gauge is above or below the value
		sit.await("the metric", func() bool {
			got, ok := sit.metric(args[1], args[2])
			want := float64(sit.number(args[4]))
			return ok && (args[3] == "above" && got > want || args[3] == "below" && got < want)
		})
	case "inForce": // inForce VERSION: waits until the configuration is in force at all daemons
		for _, dmn := range sit.daemons {
			sit.await("the version", func() bool {
				cat := dmn.Control.Snapshot().Catalog
				return cat != nil && cat.Version == int64(sit.number(args[1]))
			})
		}
	case "acquainted": // acquainted: waits until each daemon has all others as peers
		for _, dmn := range sit.daemons {
			sit.await("the other daemons", func() bool { return len(dmn.Control.Snapshot().Peers) == len(sit.daemons)-1 })
		}
	default:
		return false
	}
	return true
}

// checkTraffic runs commands that check the traffic between daemons; it returns false for other commands.
func (sit *site) checkTraffic(args []string) bool {
	switch args[0] {
	case "idle": // idle DURATION: measures the idle traffic between daemons, as the base for exchanged
		before, began := sit.traffic(), time.Now()
		time.Sleep(sit.duration(args[1]))
		sit.markTraffic()
		sit.idleUntil = time.Now()
		sit.idle = float64(sit.exchanged-before) / float64(len(sit.daemons)) / sit.idleUntil.Sub(began).Seconds()
	case "copies": // copies COUNT[/PARTS]: since publish, the traffic was at most COUNT/PARTS configurations for each daemon
		count, parts, _ := strings.Cut(args[1]+"/1", "/")
		parts, _, _ = strings.Cut(parts, "/")
		// JSON carries bytes as base64, which is a third longer.
		most := int64(sit.number(count)*len(sit.daemons)*len(sit.published)/sit.number(parts)) * 4 / 3 * int64(sit.readers("keyed.op"))
		if got := sit.traffic() - sit.exchanged; got > most {
			sit.fatalf("got %d bytes between daemons, want %d at most, %d reads", got, most, sit.readers("keyed.op"))
		}
	case "exchanged": // exchanged: since idle, each daemon's traffic was at most its idle rate and 1 KB per read of entries
		// The idle traffic is scaled by the elapsed time, because a busy machine takes longer between commands.
		got := float64(sit.traffic()-sit.exchanged) / float64(len(sit.daemons))
		most := sit.idle*time.Since(sit.idleUntil).Seconds() + float64(sit.readers("keyed.servers")<<10)
		if got > most {
			sit.fatalf("got %.0f bytes a daemon, want %.0f at most (%.0f a second when idle, %d reads)",
				got, most, sit.idle, sit.readers("keyed.servers"))
		}
	default:
		return false
	}
	return true
}

// metric returns the value of a daemon's gauge.
func (sit *site) metric(daemon, name string) (value float64, ok bool) {
	res, err := http.Get("http://" + sit.daemons[daemon].metrics + "/metrics")
	if err != nil {
		return 0, false
	}
	defer res.Body.Close()
	scn := bufio.NewScanner(res.Body)
	for scn.Scan() {
		if text, found := strings.CutPrefix(scn.Text(), "papayacroft_gateway_"+name+" "); found {
			value, err = strconv.ParseFloat(text, 64)
			return value, err == nil
		}
	}
	return 0, false
}

// markTraffic records the present counts of traffic between daemons and of reads of the store, to start a measurement.
func (sit *site) markTraffic() {
	sit.exchanged = sit.traffic()
	sit.delivered = map[string]int{}
	for _, topic := range []string{"keyed.op", "keyed.servers"} {
		sit.delivered[topic] = sit.store.Deliveries(topic)
	}
}

// readers returns the number of reads of a topic since markTraffic that returned records, at least 1. Normally one daemon
// reads and shares the records with all others; one that receives no part for 1.15 s, as happens on an overloaded
// machine, reads the topic itself and shares the records too.
func (sit *site) readers(topic string) int {
	return max(1, sit.store.Deliveries(topic)-sit.delivered[topic])
}

// traffic returns the number of bytes transferred between daemons, counted at the client side of each connection.
func (sit *site) traffic() int64 {
	var sum int64
	for _, dmn := range sit.daemons {
		sum += dmn.Exchange.Client.Traffic.Sent.Load() + dmn.Exchange.Client.Traffic.Received.Load()
	}
	return sum
}
