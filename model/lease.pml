/*
 * Lease and fenced orders (design section 5.8).
 * Two parties acquire the lease of one pool alternately and send orders to one engine.
 * Renewals are not modelled, because no order depends on them.
 * Without CHECKS, the engine ignores the fencing token, and safety depends on time: a bounded clock, with a bounded
 * delay from the check to the order's effect.
 * With CHECKS, the engine refuses orders with old fencing tokens, and each step may be delayed without bound.
 */

#define PARTIES 2
#define MAXLOG 3

#define LEASE 3
#ifdef WRONG_NO_MARGIN
#define MARGIN 0
#else
#define MARGIN 1
#endif
/* Longest time from the lease check to the order's effect; the margins of two parties together cover it. */
#define DELAY 2
#define MAXTIME 8

#ifdef CHECKS
#define VALID true
#define WAITED true
#else
#define VALID (now < readStart + LEASE - MARGIN)
#ifdef WRONG_NO_WAIT
#define WAITED true
#else
#define WAITED (first || now >= ownSince + LEASE + MARGIN)
#endif
#endif

/* Party p has held the lease since the first record of the stream, so no earlier holder can have orders in flight. */
#define FROMFIRST (owner[1] == p && (seen < 3 || owner[2] == p))

#define ONTIME(p) (!flying[p] || now < checkedAt[p] + DELAY)

byte now;
byte last;               /* token of the last accepted lease record; 0 if there is none */
byte owner[MAXLOG + 1];  /* party that holds each token */
byte highest;            /* highest token whose order took effect */
bool flying[PARTIES];    /* the party has an order in flight: after the check, before the effect */
byte checkedAt[PARTIES];

inline effect(t) {
	assert(t >= highest); /* no order of an earlier holder takes effect after an order of its successor */
	highest = t
}

proctype Party(byte p) {
	byte seen, token, readStart, ownSince, start, order;
	bool reading = false, first = false;
	do
	/* A complete read of the stream; the response may show the stream as it was when the read started. */
	:: atomic { !reading && !flying[p] -> reading = true; start = now; seen = last }
	:: atomic { reading ->
		reading = false;
#ifdef WRONG_READ_END
		readStart = now;
#else
		readStart = start;
#endif
		start = 0;
		if
		:: seen != 0 && owner[seen] == p && token != seen ->
			if
			:: token != 0 /* the party has refreshed its own lease, so ownSince does not change */
			:: else ->
				first = FROMFIRST;
				ownSince = (first -> 0 : now)
			fi;
			token = seen
		:: seen != 0 && owner[seen] == p && token == seen
		:: else -> token = 0; ownSince = 0; readStart = 0; first = false
		fi }

	/*
	 * A first lease or a takeover. The party learns the outcome only by reading the stream, as the append's response
	 * may be lost.
	 */
	:: atomic { !reading && token == 0 && last < MAXLOG ->
		if
		:: seen == last -> last++; owner[last] = p
		:: else /* not accepted: another record with the same base offset was appended first */
		fi }

	/* The holder appends its record again before it expires from the log; this must not revoke a successor's lease. */
	:: atomic { !reading && token != 0 && last < MAXLOG ->
		if
#ifdef WRONG_REFRESH_UNBASED
		:: true -> last++; owner[last] = p
#else
		:: seen == last -> last++; owner[last] = p
#endif
		:: else
		fi }

	/* The lease check immediately before an order is sent. */
	:: atomic { !reading && token != 0 && !flying[p] && VALID && WAITED ->
		flying[p] = true; checkedAt[p] = now; order = token }

	:: atomic { flying[p] ->
		flying[p] = false;
		checkedAt[p] = 0;
#if defined(CHECKS) && !defined(WRONG_IGNORE_TOKEN)
		if
		:: order >= highest -> effect(order)
		:: else /* the engine refuses the order because of its stale token */
		fi;
#else
		effect(order);
#endif
		order = 0 }
	od
}

/* The clock does not tick past the DELAY of an order in flight, except with CHECKS or WRONG_PAUSE_AFTER_CHECK. */
proctype Clock() {
end:
	do
#if defined(WRONG_PAUSE_AFTER_CHECK) || defined(CHECKS)
	:: now < MAXTIME -> now++
#else
	:: atomic { now < MAXTIME && ONTIME(0) && ONTIME(1) -> now++ }
#endif
	od
}

init {
	atomic { run Party(0); run Party(1); run Clock() }
}
