/*
 * Publish and apply (design section 5.1).
 * Nodes apply the records of one log in offset order. An oracle (truthVersion, truthContent, truthSeen) evaluates each
 * publish record when it is appended; what a node installs is compared with the oracle.
 */

#define NODES 2
#define PUBLISHERS 2
#define SNAPSHOTS 1
#define MAXLOG 4

#define PUBLISH 0
#define SNAPSHOT 1

typedef Record {
	byte kind;
	byte id;      /* publish: publishId */
	byte base;    /* publish: basedOn */
	byte version; /* snapshot, here to next: version, its content, evaluated publish ids, writer's read position */
	byte content;
	byte seen;
	byte next
}

typedef View {
	byte version;
	byte content; /* id of the publish that created the version */
	byte seen;    /* set of publish ids that have been evaluated */
	byte next;    /* offset to read next */
	bool sure     /* all records before next have been evaluated, so the view can evaluate further ones */
}

Record rec[MAXLOG];
byte first, tail;
byte snapshots;
View node[NODES];

byte truthVersion, truthSeen;
byte truthContent[MAXLOG];

inline appendPublish(publishId, basedOn) {
	rec[tail].kind = PUBLISH;
	rec[tail].id = publishId;
	rec[tail].base = basedOn;
	if
	:: (truthSeen & (1 << publishId)) == 0 && basedOn == truthVersion ->
		truthVersion++;
		truthContent[truthVersion] = publishId
	:: else
	fi;
	truthSeen = truthSeen | (1 << publishId);
	tail++
}

inline install(who, newVersion, newContent) {
	assert(newVersion > node[who].version);        /* the version in force never decreases */
	assert(truthContent[newVersion] == newContent);        /* all nodes install the same content for a version */
	node[who].version = newVersion;
	node[who].content = newContent
}

inline judge(who, o) {
#ifdef WRONG_IGNORE_ID
	if
	:: rec[o].base == node[who].version ->
		install(who, node[who].version + 1, rec[o].id)
#elif defined(WRONG_IGNORE_BASE)
	if
	:: (node[who].seen & (1 << rec[o].id)) == 0 ->
		install(who, node[who].version + 1, rec[o].id)
#else
	if
	:: (node[who].seen & (1 << rec[o].id)) == 0 && rec[o].base == node[who].version ->
		install(who, node[who].version + 1, rec[o].id)
#endif
	:: else
	fi;
	node[who].seen = node[who].seen | (1 << rec[o].id)
}

/* Adopts a state in which all records before newNext have been evaluated, and continues to read at newNext. */
inline adopt(who, newVersion, newContent, newSeen, newNext) {
	if
	:: newVersion > node[who].version -> install(who, newVersion, newContent)
	:: else
	fi;
	node[who].seen = newSeen;
#ifndef WRONG_NO_REREAD
	node[who].next = newNext;
#endif
	node[who].sure = true
}

inline applySnapshot(who, o) {
	if
#ifdef WRONG_OLDER_SNAPSHOT
	:: rec[o].version != node[who].version ->
		install(who, rec[o].version, rec[o].content)
#endif
#ifndef WRONG_IGNORE_SNAPSHOT
	:: rec[o].next >= first &&
	   (rec[o].version > node[who].version || (!node[who].sure && rec[o].version == node[who].version)) ->
		adopt(who, rec[o].version, rec[o].content, rec[o].seen, rec[o].next)
	:: rec[o].next < first && rec[o].version > node[who].version ->
		/*
		 * The version was accepted, but records that follow it have expired: install it, but don't evaluate further
		 * publish records, as expired ones may have changed the version.
		 */
		install(who, rec[o].version, rec[o].content);
		node[who].seen = rec[o].seen;
		node[who].sure = false
#endif
	:: else
	fi
}

/*
 * A node that has read the whole log has the current version if it is sure. If it is not sure, there must be no retained
 * snapshot of its version or a later one whose following records are all retained, as that would have made it sure.
 */
inline checkCaughtUp(who) {
	byte o;
	if
	:: node[who].next == tail && node[who].sure -> assert(node[who].version == truthVersion)
	:: node[who].next == tail && !node[who].sure ->
		o = first;
		do
		:: o < tail ->
			assert(!(rec[o].kind == SNAPSHOT && rec[o].next >= first && rec[o].version >= node[who].version));
			o++
		:: else -> break
		od;
		o = 0
	:: else
	fi
}

inline readOne(who) {
	d_step {
		if
		:: node[who].next < first ->
			node[who].next = first;
#ifndef WRONG_JUDGE_AFTER_GAP
			node[who].sure = false
#endif
		:: else
		fi;
		if
		:: node[who].next < tail ->
			at = node[who].next;
			node[who].next = at + 1;
			if
			:: rec[at].kind == SNAPSHOT -> applySnapshot(who, at)
			:: rec[at].kind == PUBLISH && node[who].sure -> judge(who, at)
			:: else
			fi;
			at = 0
		:: else
		fi;
		checkCaughtUp(who)
	}
}

proctype Node(byte who) {
	byte at;
	Record pending;
	bool writing = false, restarted = false;
	do
	:: node[who].next < tail -> readOne(who)

	/* A slow node captures a snapshot in one step and appends it in a later step. */
	:: atomic { !writing && snapshots < SNAPSHOTS && node[who].sure && node[who].version > 0 ->
		snapshots++;
		writing = true;
		pending.version = node[who].version;
		pending.content = node[who].content;
		pending.seen = node[who].seen;
		pending.next = node[who].next }
	:: atomic { writing && tail < MAXLOG ->
		d_step {
			rec[tail].kind = SNAPSHOT;
			rec[tail].version = pending.version;
			rec[tail].content = pending.content;
			rec[tail].seen = pending.seen;
			rec[tail].next = pending.next;
			tail++;
			writing = false;
			pending.version = 0; pending.content = 0; pending.seen = 0; pending.next = 0
		} }

	/* A peer with a newer version sends its state. */
#ifdef WRONG_OLDER_PEER
	:: d_step { node[1 - who].version != node[who].version && node[1 - who].version > 0 ->
#else
	:: d_step { node[1 - who].version > node[who].version ->
#endif
		if
		:: node[1 - who].sure && node[1 - who].next >= first ->
#ifdef WRONG_OLDER_PEER
			install(who, node[1 - who].version, node[1 - who].content);
#endif
			adopt(who, node[1 - who].version, node[1 - who].content, node[1 - who].seen, node[1 - who].next)
		:: else ->
			install(who, node[1 - who].version, node[1 - who].content);
			node[who].seen = node[1 - who].seen;
			node[who].sure = false
		fi }

	:: d_step { !restarted && who == 1 ->
		restarted = true;
		node[who].version = 0; node[who].content = 0; node[who].seen = 0;
		node[who].next = first;
#ifdef WRONG_JUDGE_AFTER_GAP
		node[who].sure = true
#else
		node[who].sure = (first == 0)
#endif
		}
	od
}

proctype Publisher(byte id) {
	byte base;
	bool found = false;
	byte o;
	base = node[id % NODES].version;
	atomic { tail < MAXLOG -> d_step { appendPublish(id, base) } }
	/* The response may be lost; a careless client repeats the append with the same id and a newer base. */
	if
	:: id == 0 ->
		base = node[0].version;
		atomic { tail < MAXLOG -> d_step { appendPublish(id, base) } }
	:: true
	fi
}

proctype Expiry() {
	do
	:: first < tail -> first++
	od
}

init {
	byte i;
	atomic {
		i = 0;
		do
		:: i < NODES -> node[i].sure = true; run Node(i); i++
		:: else -> break
		od;
		i = 0;
		do
		:: i < PUBLISHERS -> run Publisher(i); i++
		:: else -> break
		od;
		i = 0;
		run Expiry()
	}
}
