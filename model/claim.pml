/*
 * Claim and dispatch of a request that must not run more than once (design section 5.2).
 * All attempts have the same idempotency key; attempt r runs on daemon r % 2 and its first claim has the id r.
 * Attempts 1 and 2 may replace a given-up claim of another attempt with a second claim, which has the id r + 2.
 */

#define ATTEMPTS 3
#define IDS 5
#define MAXLOG 4
#define COPIES 1
#define NONE 255

/* State of a claim in the claimant's memory. */
#define UNKNOWN 0
#define PENDING 1
#define DISPATCHED 2
#define GIVEN_UP 3

byte rec[MAXLOG];
byte first, tail;
bool keyExpired;

byte replaces[IDS] = NONE;
byte state[IDS];

/* Sets of claims. */
byte asked;          /* claims that a writer has been requested to append */
byte appended;       /* claims that are on the log */
byte toldNotRun;     /* claims whose caller was answered notRun */
byte copies;         /* number of repeated appends of claims that were already on the log */
byte told;           /* number of claims in toldNotRun */
byte ran = NONE;     /* the claim under which an endpoint started the request */

/* Sets of attempts. */
byte begun;          /* attempts that have started */
byte dead;           /* attempts whose daemon crashed after they started */

#ifdef WRONG_NO_AGE_CHECK
#define CHECKED_AGE true
#else
#define CHECKED_AGE (!keyExpired)
#endif
#if defined(WRONG_NO_AGE_CHECK) || defined(WRONG_NO_SECOND_AGE_CHECK)
#define SECOND_CHECK true
#else
#define SECOND_CHECK (!keyExpired)
#endif

#define HAS(set, x) ((set >> (x)) & 1)
#define ADD(set, x) set = set | (1 << (x))

/*
 * Duplicate appends: a claim may be sent to two writers, and an append whose response is lost is repeated, possibly
 * much later.
 */
#define WRITE(x) \
	d_step { tail < MAXLOG && HAS(asked, x) && !HAS(appended, x) -> ADD(appended, x); rec[tail] = x; tail++ }
#define WRITE_AGAIN(x) \
	d_step { tail < MAXLOG && HAS(appended, x) && copies < COPIES -> copies++; rec[tail] = x; tail++ }

proctype Writers() {
end:
	do
	:: WRITE(0) :: WRITE(1) :: WRITE(2) :: WRITE(3) :: WRITE(4)
	:: WRITE_AGAIN(0) :: WRITE_AGAIN(1) :: WRITE_AGAIN(2) :: WRITE_AGAIN(3) :: WRITE_AGAIN(4)
	od
}

/* Applies one claim record to the claim table, that is, to holder. */
inline apply(id) {
	if
	:: holder == NONE -> holder = id
#ifdef WRONG_ANY_HOLDER
	:: holder != NONE && replaces[id] != NONE -> previous = holder; holder = id
#else
	:: holder != NONE && replaces[id] == holder -> previous = holder; holder = id
#endif
#ifdef WRONG_REPLACED_RETURNS
	:: holder != NONE && replaces[id] != holder && previous == id -> holder = id
#endif
	:: else
	fi
}

/* Builds the claim table from the records of the range from..to-1. */
inline readTable(from, to) {
	d_step {
		holder = NONE;
		at = from;
		do
		:: at < to -> apply(rec[at]); at++
		:: else -> break
		od;
		at = 0;
		previous = NONE
	}
}

/* Sets left to the number of claims in x's chain of replaced claims whose callers were answered notRun. */
inline countReplaced(x) {
	at = replaces[x];
	left = 0;
	do
	:: at != NONE ->
		if
		:: HAS(toldNotRun, at) -> left++
		:: else
		fi;
		at = replaces[at]
	:: else -> break
	od;
	at = 0
}

/* An endpoint starts the request under claim x. */
inline dispatch(x) {
	d_step {
		assert(ran == NONE);       /* at most one dispatch */
		assert(!HAS(toldNotRun, x));
		countReplaced(x);
		assert(left == told);      /* once a claim is answered notRun, only claims that replaced it are dispatched */
		left = 0;
		ran = x
	}
}

/*
 * The caller of claim x is answered notRun. A later attempt that replaced the given-up claim may have run before this
 * answer.
 */
inline sayNotRun(x) {
	d_step {
		ADD(toldNotRun, x);
		told++;
		if
		:: ran != NONE ->
			assert(ran != x);
			countReplaced(ran);
			assert(left == told)   /* no earlier attempt was dispatched */
		:: else
		fi;
		left = 0
	}
}

proctype Attempt(byte r) {
	byte id = r, holder = NONE, at, left;
	byte previous = NONE; /* the claim that the holder replaced, for WRONG_REPLACED_RETURNS */

	/* An attempt whose key has expired ends with the outcome unknown, which equals an attempt that never started. */
	d_step {
		(r < 2 || HAS(begun, 0)) && CHECKED_AGE -> /* attempts 0 and 2 run on one daemon and are interchangeable */
		ADD(begun, r)
	};
	/*
	 * An attempt that is refused before it has a claim ends with the outcome unknown, which equals an attempt that
	 * never started.
	 */
#ifdef WRONG_NOT_RUN_WITHOUT_CLAIM
	if
	:: atomic { !HAS(dead, r) -> sayNotRun(id); goto done }
	:: true
	fi;
#endif
claim:
	atomic { !HAS(dead, r) -> state[id] = PENDING; ADD(asked, id) };
#ifndef WRONG_GRANT_WITHOUT_READ
	do
	:: atomic { !HAS(dead, r) -> state[id] = GIVEN_UP; goto done } /* time-out before the claim was settled: the outcome is unknown */
	:: atomic { !HAS(dead, r) ->
		/*
		 * A table that has existed for long has read all records, a new one only the retained records; a table that
		 * lags lacks the last record.
		 */
		if
		:: readTable(0, tail)
		:: first > 0 -> readTable(first, tail)
		:: tail > 0 -> readTable(0, tail - 1)
		fi;
		if
		:: holder == NONE || holder == replaces[id] -> holder = NONE
		:: holder != NONE && holder != replaces[id] && holder == id -> holder = NONE; goto granted
		:: else -> state[id] = GIVEN_UP; break
		fi }
	od;
	/*
	 * The attempt queries the holder's claimant. The claim can be replaced only if the claimant has given it up; if the
	 * claimant has lost its memory in a crash, the outcome is unknown.
	 */
	atomic { !HAS(dead, r) ->
		if
		:: id == r && r > 0 && state[holder] == GIVEN_UP -> skip
#ifdef WRONG_REPLACE_UNKNOWN
		:: id == r && r > 0 && state[holder] == UNKNOWN -> skip
#endif
		:: else -> goto done
		fi;
		id = r + ATTEMPTS - 1;
		replaces[id] = holder;
		holder = NONE
	};
	goto claim;
granted:
#endif
	/*
	 * Second check of the key's age: if the key has expired, the records of an earlier attempt may have expired too, so
	 * the outcome is unknown.
	 */
	atomic { !HAS(dead, r) ->
		if
		:: !SECOND_CHECK ->
			state[id] = GIVEN_UP;
#ifdef WRONG_NOT_RUN_AFTER_EXPIRY
			sayNotRun(id);
#endif
			goto done
		:: else
		fi
	};
	if
	:: goto giveUp /* no endpoint is available, or the caller has disconnected */
	:: d_step { !HAS(dead, r) && state[id] == PENDING -> state[id] = DISPATCHED }
	fi;
	if
	:: atomic { !HAS(dead, r) -> dispatch(id);
#ifndef WRONG_GIVE_UP_AFTER_DISPATCH
		goto done
#endif
		}
	:: goto giveUp /* every endpoint refused the connection */
	fi;
giveUp:
#ifdef WRONG_NOT_RUN_WITHOUT_GIVING_UP
	atomic { !HAS(dead, r) -> sayNotRun(id) };
	atomic { !HAS(dead, r) -> dispatch(id) };
#else
	atomic { !HAS(dead, r) -> state[id] = GIVEN_UP };
	atomic { !HAS(dead, r) -> sayNotRun(id) };
#endif
done:
	atomic { id = 0; holder = NONE };
end:
	false
}

/* The key expires before any record does, because the log's retention is longer than the lifetime of keys. */
proctype Time() {
#ifndef WRONG_RECORDS_EXPIRE_FIRST
	keyExpired = true;
#endif
end:
	do
	:: first < tail -> first++
	od
}

/* Daemon 0 crashes and restarts: its attempts 0 and 2 end, and the states of its claims are lost. */
proctype Crash() {
	d_step {
		begun & 5 ->
		dead = begun & 5;
		state[0] = UNKNOWN; state[2] = UNKNOWN; state[4] = UNKNOWN
	}
}

init {
	atomic {
		run Writers();
		run Attempt(0); run Attempt(1); run Attempt(2);
		run Time();
		run Crash()
	}
}
