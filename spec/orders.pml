/*
 * Orders to an engine, given by whoever holds the lease.
 *
 * Two VMs want the lease on one record. Time passes in ticks. A holder renews
 * by writing the record under the condition of its version and counts its right
 * from the tick at which it sent the renewal. The other VM takes over when the
 * record has not changed for LENGTH ticks since it first saw the version, and
 * then waits HANDOVER ticks before it acts; the record says whether that wait
 * is over. A VM may be suspended at any point while time passes, and its process
 * may die and start again without memory. Writes take effect at any later
 * moment, if their condition still holds, and their answers may be lost.
 *
 * With DEPUTY a renewal names the other VM as the deputy, which may claim when the
 * record has not changed for SHORT ticks. From then on the holder acts only under
 * the deputy's promise, PROMISE ticks long from when it asked. Requests and answers
 * may take any time or be lost.
 *
 * An order says how many orders the engine must have accepted before, and was
 * decided for what the engine held then. Orders lie in the network or in the
 * engine for any time and may arrive twice. The engine has memory for one
 * model and starts again now and then, empty and with its count at 0. Orders
 * about adapters count as well and take no memory here. A load is given only when
 * no other one can still be carried out, and after a restart of the engine none
 * while an order from before can: these the scheduler knows by time. What becomes of orders
 * is explored with restarts of the engine only (BOOTS), where the lease is one
 * VM's; without them an order is but the moment at which it is given.
 *
 * Checked: two VMs never give orders within HANDOVER ticks of each other; no
 * order has a lower fencing number than one given before; the engine never
 * loads beyond its memory.
 *
 * Each of these breaks one rule and must yield a counterexample:
 *   SUSPENDED   the right is checked by a clock that stops while suspended
 *   NO_WAIT     a VM that takes over acts at once
 *   GOES_ON     a process that starts again on the holder's VM acts at once,
 *               although the wait after the former holder was not over
 *   NO_VOW      the deputy claims although it has promised not to yet
 *   ANY_VOW     the deputy promises while a claim of its own may take effect
 *   NO_EXPECT   the engine carries out orders whatever it has accepted before
 *   NO_RESERVE  an engine that has started again is filled although an order
 *               without an answer, given before, may still be carried out
 */

#ifndef TICKS
#define TICKS 6		/* ticks in one run */
#endif
#ifndef ORDERS
#define ORDERS 2	/* orders in one run */
#endif
#ifndef WRITES
#define WRITES 3	/* writes of the record in one run */
#endif
#ifndef DEATHS
#define DEATHS 1	/* deaths of processes in one run */
#endif
#ifndef BOOTS
#define BOOTS 0		/* restarts of the engine in one run */
#endif
#ifdef DEPUTY
#define LENGTH 4
#else
#define LENGTH 2
#endif
#define HANDOVER 2
#define SHORT 1
#define PROMISE 2
#ifndef ASKS
#define ASKS 2		/* requests for a promise in one run */
#endif
#define NOBODY 2

byte now;

/* The record. */
byte holder = NOBODY;
byte fencing, version;
bool acting;
#ifdef DEPUTY
byte deputy = NOBODY, deputyLife;
#endif

/* One VM with its process. */
typedef VM {
	bool asleep;
	byte slept;		/* ticks that it was suspended */
	byte life;		/* processes that have died */
	bool saw;
	byte sawVersion, sawAt;
	bool mine;
	byte from, until, number;
#ifdef DEPUTY
	byte sawHolder = NOBODY, sawDeputy = NOBODY, sawDeputyLife;
	byte naming = NOBODY;	/* deputy in a renewal that may take effect */
	byte alone, promised;	/* until when it may act without and with a promise */
	byte vowed;		/* until when it may not claim as the deputy */
	bool claiming;
#endif
};
VM vm[2];
#ifdef DEPUTY
/* A request for a promise, or the answer to it. */
bool asking, answering;
byte asker, askerLife, asked, askedVersion, asks;
#endif

/* A write of the record that is under way. */
typedef Write {
	bool flying, claim, goesOn;
	byte by, life, expect, number, sent;
#ifdef DEPUTY
	byte deputy, deputyLife;
#endif
};
Write wr[2];
byte writes;

/* The last act. */
byte lastBy = NOBODY;
byte lastAt, lastNumber;

/* Orders under way. */
mtype = { load, unload, adapter };
typedef Order {
	bool flying;
	mtype what;
	byte expect, boot;
};
Order ord[2];
byte orders;

/* The engine. */
byte sequence, held, boot;
byte deaths;

#ifdef SUSPENDED
#define clock(v) (now - vm[v].slept)
#else
#define clock(v) (now)
#endif

#ifdef DEPUTY
#define unrivalled(v) ((vm[v].sawDeputy == NOBODY && vm[v].naming == NOBODY) || now < vm[v].alone || \
	((vm[v].naming == NOBODY || vm[v].naming == vm[v].sawDeputy) && now < vm[v].promised))
#ifdef NO_VOW
#define vowEnded(v) true
#else
#define vowEnded(v) (now >= vm[v].vowed)
#endif
#define succeeds(v) (vm[v].sawDeputy == v && vm[v].sawDeputyLife == vm[v].life && \
	now - vm[v].sawAt >= SHORT && vowEnded(v))
#ifdef ANY_VOW
#define mayVow(v) (!vm[v].mine)
#else
#define mayVow(v) (!vm[v].mine && !vm[v].claiming)
#endif
#else
#define unrivalled(v) true
#define succeeds(v) false
#endif

#define holds(v) (vm[v].mine && !vm[v].asleep && clock(v) >= vm[v].from && clock(v) < vm[v].until && unrivalled(v))

#ifdef NO_RESERVE
#define late(o) false
#else
#define late(o) (ord[o].flying && ord[o].boot != boot)
#endif

inline look(v) {
	if
	:: !vm[v].saw || vm[v].sawVersion != version ->
		vm[v].saw = true; vm[v].sawVersion = version; vm[v].sawAt = clock(v);
#ifdef DEPUTY
		vm[v].claiming = false; vm[v].naming = NOBODY; vm[v].sawHolder = holder;
		if
		:: vm[v].sawDeputy != deputy -> vm[v].promised = 0
		:: else
		fi;
		vm[v].sawDeputy = deputy; vm[v].sawDeputyLife = deputyLife
#endif
	:: else
	fi
}

#ifdef DEPUTY
inline ask(v) {
	asking = true; asker = v; askerLife = vm[v].life; asked = now; askedVersion = vm[v].sawVersion; asks++
}

/* The holder tells the record that it has written. */
inline vow(d) {
	if
	:: mayVow(d) && askedVersion > vm[d].sawVersion ->
		vm[d].saw = true; vm[d].sawVersion = askedVersion; vm[d].sawAt = now; vm[d].claiming = false;
		vm[d].sawHolder = asker; vm[d].sawDeputy = d; vm[d].sawDeputyLife = vm[d].life
	:: else
	fi;
	if
	:: mayVow(d) && vm[d].sawHolder == asker -> vm[d].vowed = now + PROMISE; answering = true
	:: else
	fi;
	asking = false
}

inline promise() {
	if
	:: vm[asker].life == askerLife && vm[asker].mine && vm[asker].sawDeputy == 1 - asker &&
		asked + PROMISE > vm[asker].promised -> vm[asker].promised = asked + PROMISE
	:: else
	fi;
	answering = false
}
#endif

inline start_write(v, w, isClaim) {
	wr[w].flying = true; wr[w].claim = isClaim; wr[w].by = v; wr[w].life = vm[v].life;
	wr[w].expect = version; wr[w].sent = clock(v);
	if
	:: isClaim ->
		wr[w].number = version + 1;
#ifdef DEPUTY
		wr[w].deputy = NOBODY; vm[v].claiming = true;
#endif
#ifdef GOES_ON
		wr[w].goesOn = (version == 0 || holder == v)
#else
		wr[w].goesOn = (version == 0 || (holder == v && acting))
#endif
	:: else ->
		wr[w].number = vm[v].number;
#ifdef DEPUTY
		vm[v].naming = 1 - v; wr[w].deputy = 1 - v; wr[w].deputyLife = vm[1 - v].life;
#endif
		wr[w].goesOn = (acting || clock(v) >= vm[v].from)
	fi;
	writes++
}

inline deliver(w) {
	if
	:: wr[w].expect == version ->
		version++; holder = wr[w].by; fencing = wr[w].number; acting = wr[w].goesOn;
#ifdef DEPUTY
		deputy = wr[w].deputy; deputyLife = wr[w].deputyLife;
#endif
		if
		:: wr[w].life == vm[wr[w].by].life -> answered(w)
		:: true			/* the answer is lost */
		fi
	:: else
	fi;
	wr[w].flying = false
}

inline answered(w) {
	vm[wr[w].by].mine = true;
	vm[wr[w].by].number = wr[w].number;
	if
	:: wr[w].sent + LENGTH > vm[wr[w].by].until -> vm[wr[w].by].until = wr[w].sent + LENGTH
	:: else
	fi;
#ifdef DEPUTY
	vm[wr[w].by].naming = NOBODY; vm[wr[w].by].claiming = false;
	vm[wr[w].by].saw = true; vm[wr[w].by].sawVersion = version; vm[wr[w].by].sawAt = now;
	vm[wr[w].by].sawHolder = wr[w].by;
	if
	:: wr[w].claim || vm[wr[w].by].sawDeputy != wr[w].deputy -> vm[wr[w].by].promised = 0
	:: else
	fi;
	vm[wr[w].by].sawDeputy = wr[w].deputy; vm[wr[w].by].sawDeputyLife = wr[w].deputyLife;
	if
	:: wr[w].claim || wr[w].sent + SHORT > vm[wr[w].by].alone -> vm[wr[w].by].alone = wr[w].sent + SHORT
	:: else
	fi;
#endif
	if
	:: !wr[w].claim
	:: wr[w].claim && wr[w].goesOn -> vm[wr[w].by].from = clock(wr[w].by)
	:: wr[w].claim && !wr[w].goesOn ->
#ifdef NO_WAIT
		vm[wr[w].by].from = clock(wr[w].by)
#else
		vm[wr[w].by].from = clock(wr[w].by) + HANDOVER
#endif
	fi
}

inline give(v, o, kind) {
	assert(lastBy == NOBODY || lastBy == v || now - lastAt >= HANDOVER);
	assert(vm[v].number >= lastNumber);
	lastBy = v; lastAt = now; lastNumber = vm[v].number;
#if BOOTS > 0
	ord[o].flying = true;
#endif
	ord[o].what = kind; ord[o].expect = sequence; ord[o].boot = boot;
	orders++
}

inline arrive(o) {
	if
#ifdef NO_EXPECT
	:: true ->
#else
	:: ord[o].expect == sequence ->
#endif
		sequence++;
		if
		:: ord[o].what == load -> held++
		:: ord[o].what == unload && held > 0 -> held--
		:: else
		fi;
		assert(held <= 1)
#ifndef NO_EXPECT
	:: else
#endif
	fi
}

/* What a VM may do at any moment. */
#define MAY_CLAIM(v) (!vm[v].mine && vm[v].saw && vm[v].sawVersion == version && \
	(version == 0 || holder == v || clock(v) - vm[v].sawAt >= LENGTH || succeeds(v)))
#define MAY_RENEW(v) (vm[v].mine && holder == v && vm[v].number == fencing)

/* A VM that is suspended takes no step, so only a clock that stops needs to know
   of it. */
#ifdef SUSPENDED
#define SLEEP(v) \
	:: atomic { !vm[v].asleep -> vm[v].asleep = true } \
	:: atomic { vm[v].asleep -> vm[v].asleep = false }
#else
#define SLEEP(v)
#endif

#define GIVES(v, o) \
	:: atomic { BOOTS > 0 && orders < ORDERS && !ord[o].flying && holds(v) && held == 0 && !late(0) && !late(1) && \
		!(ord[1 - o].flying && ord[1 - o].boot == boot && ord[1 - o].what == load) -> give(v, o, load) } \
	:: atomic { BOOTS > 0 && orders < ORDERS && !ord[o].flying && holds(v) && held == 1 -> give(v, o, unload) } \
	:: atomic { orders < ORDERS && !ord[o].flying && holds(v) -> give(v, o, adapter) }

#ifdef DEPUTY
#define PROMISES(v) \
	:: atomic { asks < ASKS && !asking && !answering && vm[v].mine && vm[v].sawDeputy == 1 - v -> ask(v) } \
	:: atomic { asking && asker == 1 - v && vm[asker].sawDeputyLife == vm[v].life -> vow(v) }
#define FORGETS(v) vm[v].sawHolder = NOBODY; vm[v].sawDeputy = NOBODY; vm[v].naming = NOBODY; \
		vm[v].alone = 0; vm[v].promised = 0; vm[v].vowed = 0; vm[v].claiming = false;
#else
#define PROMISES(v)
#define FORGETS(v)
#endif

#define STEPS(v) \
	SLEEP(v) \
	PROMISES(v) \
	:: atomic { !vm[v].asleep && !vm[v].mine -> look(v) } \
	:: atomic { !vm[v].asleep && vm[v].mine && (holder != v || vm[v].number != fencing) -> \
		vm[v].mine = false; look(v) } \
	:: atomic { writes < WRITES && !wr[v].flying && !vm[v].asleep && MAY_CLAIM(v) -> start_write(v, v, true) } \
	:: atomic { writes < WRITES && !wr[v].flying && !vm[v].asleep && MAY_RENEW(v) -> start_write(v, v, false) } \
	:: atomic { wr[v].flying -> deliver(v) } \
	GIVES(v, 0) \
	GIVES(v, 1) \
	:: atomic { ord[v].flying -> arrive(v) } \
	:: atomic { ord[v].flying -> ord[v].flying = false } \
	:: atomic { deaths < DEATHS -> deaths++; vm[v].life++; vm[v].saw = false; vm[v].mine = false; FORGETS(v) \
		vm[v].from = 0; vm[v].until = 0; vm[v].number = 0 }

active proctype world() {
	do
#ifdef SUSPENDED
	:: atomic { now < TICKS -> now++; vm[0].slept = vm[0].slept + vm[0].asleep; vm[1].slept = vm[1].slept + vm[1].asleep }
#else
	:: atomic { now < TICKS -> now++ }
#endif
	STEPS(0)
	STEPS(1)
#ifdef DEPUTY
	:: atomic { asking -> asking = false }
	:: atomic { answering -> promise() }
	:: atomic { answering -> answering = false }
#endif
	:: atomic { boot < BOOTS -> boot++; sequence = 0; held = 0 }
	:: now == TICKS -> break
	od
}
