package main

import (
	"sync"
	"time"
)

// firstResend is the time after which TCP sends lost bytes again; each further time is twice as long.
const firstResend = 200 * time.Millisecond

// link carries the writes of one engine to the store, each on a connection of its own. While it is cut, bytes are lost,
// and TCP sends them again after 0.2, 0.6, 1.4, 3.0 and 6.2 s, also if the engine has closed the connection meanwhile.
type link struct {
	sit *site

	mutex    sync.Mutex
	cutUntil time.Time
}

// cut partitions the engine from the store.
func (lnk *link) cut(length time.Duration) {
	lnk.mutex.Lock()
	defer lnk.mutex.Unlock()
	lnk.cutUntil = time.Now().Add(length)
}

// send delivers a write now, or at the first time that TCP sends it again after the cut.
func (lnk *link) send(id, what string, entry []byte) {
	lnk.mutex.Lock()
	until := lnk.cutUntil
	lnk.mutex.Unlock()
	deliver := func() {
		lnk.sit.rec.add("store: entry of %s accepted: %s", id, what)
		lnk.sit.accept(id, entry)
	}
	now := time.Now()
	if !now.Before(until) {
		deliver()
		return
	}
	resend, pause := now, firstResend
	for resend.Before(until) {
		resend = resend.Add(pause)
		pause *= 2
	}
	lnk.sit.rec.add("link: write of %s lost in the cut: %s; it will arrive %.1f s later", id, what, resend.Sub(now).Seconds())
	time.AfterFunc(resend.Sub(now), deliver)
}
