/*
 * Quotas: tokens that an owner grants and nodes spend.
 *
 * Time passes in ticks. The owner has a bucket of BURST tokens that fills at RATE a tick, and
 * counts what it granted in the last SPAN ticks. It grants at most what the bucket holds and
 * no more than MOST in SPAN, which is the window and the time for which tokens may be spent.
 * A node asks for tokens, may spend them for LIFE ticks from then on, or gives them back.
 * Requests, answers and returns take any time or are lost, and so are nodes with what they
 * hold. Owners follow each other at any moment, and know nothing of the grants before: a new
 * one starts with an empty bucket and counts as granted what may have been.
 *
 * Only ages are kept, so that runs are endless.
 *
 * Checked: no window has more than MOST.
 *
 * Each of these breaks one rule and must yield a counterexample:
 *   FULL_BUCKET  a new owner starts with a full bucket and counts nothing as granted
 *   TWO_OWNERS   the owner before grants as well
 *   NO_LAPSE     a node that was suspended spends tokens whose time is over
 *   REFILL       tokens given back fill the bucket, also if it would have been full
 *                without their grant: more is granted than the next owner counts
 */

#define RATE 1
#define BURST 2
#define WINDOW 3
#define LIFE 2
#define SPAN 4		/* WINDOW + LIFE - 1: spent in WINDOW was granted in SPAN */
#define MOST 5		/* RATE * WINDOW + BURST */
#ifndef REQUESTS
#define REQUESTS 2	/* requests under way, with what is held and given back */
#endif
#define NOBODY 2

typedef Ledger {
	byte level;
	byte granted[SPAN];
};
Ledger ledger[2];
byte owner;
byte spent[WINDOW];

mtype = { none, asked, answered, held, returned };
typedef Request {
	mtype state = none;
	byte age;		/* ticks since it was sent */
	byte tokens;
	byte by;		/* the owner that granted */
	byte grantAge;
};
Request r[REQUESTS];
byte i, j;

#define granted(o) (ledger[o].granted[0] + ledger[o].granted[1] + ledger[o].granted[2] + ledger[o].granted[3])

inline forget(k) {
	r[k].state = none; r[k].age = 0; r[k].tokens = 0; r[k].by = NOBODY; r[k].grantAge = 0
}

inline older(k) {
	if
	:: r[k].state != none && r[k].age < LIFE -> r[k].age++
	:: else
	fi;
	if
	:: r[k].tokens > 0 && r[k].grantAge < SPAN -> r[k].grantAge++
	:: else
	fi
}

inline tick() {
	for (i : 0 .. 1) {
		ledger[i].granted[3] = ledger[i].granted[2]; ledger[i].granted[2] = ledger[i].granted[1];
		ledger[i].granted[1] = ledger[i].granted[0]; ledger[i].granted[0] = 0;
		ledger[i].level = (ledger[i].level + RATE > BURST -> BURST : ledger[i].level + RATE)
	}
	spent[2] = spent[1]; spent[1] = spent[0]; spent[0] = 0;
	for (i : 0 .. REQUESTS - 1) {
		older(i)
	}
	i = 0
}

/* Another owner follows. The grants of the one before last are unknown to it. */
inline follow() {
	owner = 1 - owner;
	for (i : 0 .. REQUESTS - 1) {
		if
		:: r[i].by == owner -> r[i].by = NOBODY
		:: else
		fi
	}
#ifdef FULL_BUCKET
	ledger[owner].level = BURST;
	for (i : 0 .. SPAN - 1) {
		ledger[owner].granted[i] = 0
	}
#else
	ledger[owner].level = 0;
	ledger[owner].granted[0] = BURST;
	for (i : 1 .. SPAN - 1) {
		ledger[owner].granted[i] = RATE
	}
#endif
	i = 0;
#ifndef TWO_OWNERS
	for (j : 0 .. SPAN - 1) {
		ledger[1 - owner].granted[j] = 0
	}
	j = 0; ledger[1 - owner].level = 0
#endif
}

#define MAY_GRANT(o, n) (ledger[o].level >= n && granted(o) + n <= MOST)

inline grant(k, o, n) {
	ledger[o].level = ledger[o].level - n;
	ledger[o].granted[0] = ledger[o].granted[0] + n;
	r[k].state = answered; r[k].tokens = n; r[k].by = o; r[k].grantAge = 0
}

inline spend(k) {
	spent[0] = spent[0] + r[k].tokens;
	assert(spent[0] + spent[1] + spent[2] <= MOST);
	forget(k)
}

inline takeBack(k) {
	if
	:: r[k].by == owner && r[k].grantAge < SPAN ->
		ledger[owner].granted[r[k].grantAge] = ledger[owner].granted[r[k].grantAge] - r[k].tokens;
#ifdef REFILL
		ledger[owner].level = (ledger[owner].level + r[k].tokens > BURST -> BURST : ledger[owner].level + r[k].tokens)
#else
		skip
#endif
	:: else
	fi;
	forget(k)
}

#ifdef NO_LAPSE
#define valid(k) true
#else
#define valid(k) (r[k].age < LIFE)
#endif

#ifdef TWO_OWNERS
#define OTHER_GRANTS(k) \
	:: atomic { r[k].state == asked && MAY_GRANT(1 - owner, 1) -> grant(k, 1 - owner, 1) } \
	:: atomic { r[k].state == asked && MAY_GRANT(1 - owner, 2) -> grant(k, 1 - owner, 2) }
#else
#define OTHER_GRANTS(k)
#endif

#define STEPS(k) \
	:: atomic { r[k].state == none -> r[k].state = asked; r[k].age = 0 } \
	:: atomic { r[k].state == asked && MAY_GRANT(owner, 1) -> grant(k, owner, 1) } \
	:: atomic { r[k].state == asked && MAY_GRANT(owner, 2) -> grant(k, owner, 2) } \
	OTHER_GRANTS(k) \
	:: atomic { r[k].state == answered -> r[k].state = held } \
	:: atomic { r[k].state == held && valid(k) -> spend(k) } \
	:: atomic { r[k].state == held -> r[k].state = returned } \
	:: atomic { r[k].state == returned -> takeBack(k) } \
	:: atomic { r[k].state != none -> forget(k) }

active proctype world() {
	forget(0); forget(1);
#if REQUESTS > 2
	forget(2);
#endif
	follow();
	do
	:: atomic { tick() }
	:: atomic { follow() }
	STEPS(0)
	STEPS(1)
#if REQUESTS > 2
	STEPS(2)
#endif
	od
}
