package intake

import (
	"net"
	"testing"
	"time"
)

// Guards against a full table that closes new connections before their callers can send, or keeps those that never send
// in place of idle ones, or closes one with a request.
func TestPoolOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	gat := NewGate(1 << 20)
	gat.Now = func() time.Time { return now }
	open := func(pol *pool, age time.Duration, prepare func(*Conn)) *Conn {
		one := newConn(gat, pol, false, &pieces{})
		one.waitingSince.Store(now.Add(-age).UnixNano())
		if prepare != nil {
			prepare(one)
		}
		pol.conns[one] = true
		return one
	}
	idle := func(con *Conn) { con.served.Store(true) }
	busy := func(con *Conn) { con.waitingSince.Store(0) }
	stalled := func(con *Conn) {
		busy(con)
		con.reading.Store(true)
		con.holder.Touch(now.Add(-2 * stalledBody))
	}
	for _, cse := range []struct {
		name string
		// ages and prepare are those of the two connections that are open, want is the number of the one that is closed, 2
		// for the new one.
		ages    [2]time.Duration
		prepare [2]func(*Conn)
		want    int
	}{
		{"fresh_and_idle", [2]time.Duration{20 * time.Millisecond, 0}, [2]func(*Conn){nil, idle}, 1},
		{"fresh_and_stalled", [2]time.Duration{20 * time.Millisecond, 0}, [2]func(*Conn){nil, stalled}, 1},
		{"unused_and_idle", [2]time.Duration{time.Second, time.Minute}, [2]func(*Conn){nil, idle}, 0},
		{"unused_and_fresh", [2]time.Duration{999 * time.Millisecond, time.Second}, [2]func(*Conn){}, 1},
		{"two_fresh", [2]time.Duration{20 * time.Millisecond, 30 * time.Millisecond}, [2]func(*Conn){}, 1},
		{"fresh_and_busy", [2]time.Duration{20 * time.Millisecond, time.Minute}, [2]func(*Conn){nil, busy}, 0},
		{"busy", [2]time.Duration{time.Minute, time.Minute}, [2]func(*Conn){busy, busy}, 2},
	} {
		pol := &pool{gate: gat, most: 2, conns: map[*Conn]bool{}}
		conns := [3]*Conn{open(pol, cse.ages[0], cse.prepare[0]), open(pol, cse.ages[1], cse.prepare[1]), newConn(gat, pol, false, &net.TCPConn{})}
		if got := pol.add(now, conns[2]); got != conns[cse.want] {
			t.Errorf("%s: got a different connection closed, want number %d", cse.name, cse.want)
		}
	}
}
