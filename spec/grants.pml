/*
 * Grants that end only with proof.
 *
 * Two nodes load items on servers. Some servers check fencing numbers and the
 * boot that an order is meant for, the others ignore both. Each server has
 * memory for one item and each item may have one replica, so that one item on
 * two servers puts the replicas at risk and two items on one server the memory;
 * with two of both the promises don't touch each other. Load orders are
 * delayed without bound and arrive in any order. A node may pause anywhere,
 * die and come back without memory, or lose the answer of a transaction.
 * Outages of the table and timeouts need no mention: any step may be late for
 * ever, and a step that a timeout would allow is always allowed.
 *
 * Reports are read at one moment and used at any later one.
 *
 * Checked after each arrival of an order: no server holds more than it has
 * memory for and no item has more copies than were decided.
 *
 * Each of these breaks one rule and must yield a counterexample:
 *   TIME_ONLY     a grant is released because it has been silent for long
 *   CAPS_OUTSIDE  the caps are checked before the transaction, not in it
 *   TRUST_LOST    a lost answer of the table is taken for success
 *   UNFENCED      a dead sender's grant is released once it is reported absent,
 *                 without shutting out its order
 *   ANY_ARRIVAL   a held grant closes its one open order although an earlier
 *                 order may be the one that arrived
 */

#ifndef ORDERS
#define ORDERS 3	/* load orders in one run */
#endif
#ifndef FENCES
#define FENCES 1	/* adoptions by fencing in one run */
#endif
#ifndef DEATHS
#define DEATHS 1	/* deaths of nodes in one run */
#endif
#ifndef BOOTS
#define BOOTS 1		/* restarts of engines in one run */
#endif
#ifndef SERVERS
#define SERVERS 2
#endif
#ifndef ITEMS
#define ITEMS 1
#endif
#ifndef CHECKING
#define CHECKING 1	/* servers, from 0 on, that check fencing numbers */
#endif
#define NODES 2
#define SLOTS 2		/* orders under one grant */
#define NONE 15

#define fencing(s) ((s) < CHECKING)

mtype = { unused, recorded, flying, done, refused };

/* One load order. Orders are numbered; a grant has the number of its first. */
typedef Order {
	mtype state = unused;
	byte server;
	byte grant;
	byte number;		/* fencing number */
	bit boot
};
Order order[ORDERS];
byte orders;
byte itemOf[ORDERS];		/* by grant */

/* The table's record of a server. */
typedef Record {
	byte grant = NONE;
	bool draining;
	byte slot[SLOTS];	/* orders under the grant */
	byte slots;
	byte closed;		/* mask of slots that are recorded as closed */
	byte fence;		/* number set aside, 0 for none */
	byte last		/* highest fencing number given out */
};
Record record[SERVERS];

/* An engine. Masks are over grants. */
typedef Engine {
	byte held;
	byte unloads;		/* orders to unload that may still arrive */
	byte number;
	bit boot
};
Engine engine[SERVERS];

/* What a node knows of a server's grant. A report tells of a later grant
   nothing that matters, so a view is forgotten with its grant. */
typedef View {
	bool read;		/* a report is at hand */
	bool held;		/* it shows the grant held */
	bool past;		/* it shows a number above that of the first order */
	byte closed;		/* mask of slots whose order can't arrive */
	bool fresh;		/* the report was read after the last closing */
	bool absent;		/* such a report missed the grant */
	bool later		/* the other node has read one after the closing */
};
typedef Views { View on[SERVERS] };
Views view[NODES];
byte lastReader[SERVERS];

byte deaths, boots, fences;

#define V view[me].on[s]
#define O view[1 - me].on[s]
#define R record[s]
#define allClosed(v) (v.closed == (1 << R.slots) - 1)
#define openSlots (R.slots - (V.closed & 1) - (V.closed >> 1))

inline forgetView(v) {
	v.read = false;
	v.held = false;
	v.past = false;
	v.closed = 0;
	v.fresh = false;
	v.absent = false;
	v.later = false
}

/* Notes that the slots of the mask are closed as of the report at hand. */
inline closeSlots(mask) {
	if
	:: (V.closed | (mask)) != V.closed ->
		V.closed = V.closed | (mask);
		V.fresh = false;
		V.absent = false;
		V.later = (lastReader[s] != me)
	:: else
	fi
}

/* Releases the grant and forgets what is no longer of interest. */
inline remove() {
	engine[s].unloads = engine[s].unloads & ~(1 << R.grant);
	lastReader[s] = 0;
	R.grant = NONE;
	R.draining = false;
	R.slots = 0;
	R.slot[0] = 0;
	R.slot[1] = 0;
	R.closed = 0;
	R.fence = 0;
	forgetView(V);
	forgetView(O)
}

inline checkPromises() {
	for (x : 0 .. SERVERS - 1) {
		inServer = 0;
		for (y : 0 .. ORDERS - 1) {
			if
			:: engine[x].held & (1 << y) ->
				inServer++;
				copies[itemOf[y]]++
			:: else
			fi
		}
		assert(inServer <= 1);		/* memory */
	}
	for (x : 0 .. ITEMS - 1) {
		assert(copies[x] <= 1);		/* replicas */
		copies[x] = 0
	}
	inServer = 0;
	x = 0;
	y = 0
}

/* Whether no server has a grant of the item. */
#define without(s, i) (record[s].grant == NONE || itemOf[record[s].grant] != (i))
#if SERVERS > 1
#define within(i) (without(0, i) && without(1, i))
#else
#define within(i) without(0, i)
#endif

inline newOrder(ofGrant) {
	mine = orders;
	order[mine].state = recorded;
	order[mine].server = s;
	order[mine].grant = ofGrant;
	order[mine].number = R.last + 1;
	order[mine].boot = engine[s].boot;
	orders++
}

inline addGrant(i) {
	newOrder(orders);
	itemOf[mine] = i;
	R.last++;
	R.grant = mine;
	R.draining = false;
	R.slot[0] = mine;
	R.slots = 1;
	R.closed = 0;
	R.fence = 0
}

proctype Node(byte me) {
	byte s = 0;
	byte mine = NONE;	/* the order that this node may still send */
#ifdef CAPS_OUTSIDE
	byte want = NONE;
#endif
end:
	do
	:: atomic {
	/* Each step is about one server. */
	if
	:: s = 0
	:: SERVERS > 1 -> s = 1
	fi;
	if
	:: skip

	/* Load: one transaction checks both caps and records the order. */
#ifdef CAPS_OUTSIDE
	:: mine == NONE && want == NONE && within(0) -> want = 0
	:: want != NONE && R.grant == NONE && orders < ORDERS ->
		addGrant(want); want = NONE
#else
	:: mine == NONE && R.grant == NONE && orders < ORDERS ->
		if
		:: within(0) -> addGrant(0)
		:: ITEMS > 1 && within(1) -> addGrant(ITEMS - 1)
		:: else -> skip
		fi
#endif
	/* The answer is lost and the transaction had no effect. Read back, the
	   record does not show the order, so that it is never sent. */
	:: mine == NONE && R.grant == NONE && orders < ORDERS && within(0) ->
#ifdef TRUST_LOST
		newOrder(orders);
		itemOf[mine] = 0
#else
		skip
#endif
	/* Renew a quarantined grant: one more order under the same grant. */
	:: !fencing(s) && mine == NONE && R.grant != NONE && R.draining &&
		R.slots < SLOTS && orders < ORDERS && !allClosed(V) ->
		newOrder(R.grant);
		itemOf[mine] = itemOf[R.grant];
		R.last++;
		R.slot[1] = mine;
		R.slots = 2;
		R.draining = false;
		V.absent = false;
		O.absent = false
	/* Send, after any pause. The caps are not looked at again. */
	:: mine != NONE -> order[mine].state = flying; mine = NONE
	/* The sender's own word: the engine refused the order. */
	:: R.grant != NONE && R.slots == 1 && order[R.slot[0]].state == refused -> remove()

	/* Read a report. */
	:: R.grant != NONE ->
		V.read = true;
		V.held = ((engine[s].held & (1 << R.grant)) != 0);
		V.past = (fencing(s) && engine[s].number > order[R.slot[0]].number);
		V.fresh = true;
		O.later = (O.closed != 0);
		lastReader[s] = me
	/* Use it with the record as it is now. */
	:: V.read ->
		if
		:: R.closed & ~V.closed -> V.closed = V.closed | R.closed; V.fresh = false
		:: else
		fi;
		if
		:: V.held ->
			V.absent = false;
			if
#ifdef ANY_ARRIVAL
			:: openSlots == 1 -> closeSlots((1 << R.slots) - 1)
#else
			:: R.slots == 1 -> closeSlots(1)
#endif
			:: else
			fi
		:: else ->
			if
			:: V.past -> closeSlots(1)
			:: else
			fi;
			if
			:: allClosed(V) && V.fresh -> V.absent = true
			:: else
			fi
		fi;
		V.held = false; V.past = false; V.read = false
	/* Unload: mark the grant, record what is known of its orders, order. */
	:: R.grant != NONE && !R.draining ->
		R.draining = true;
		if
		:: V.closed & ~R.closed ->
			R.closed = R.closed | V.closed;
			if
			:: R.closed & ~O.closed ->
				O.closed = O.closed | R.closed;
				O.fresh = O.read && V.later && O.fresh
			:: else
			fi
		:: else
		fi
	:: R.grant != NONE && R.draining && !(engine[s].unloads & (1 << R.grant)) ->
		engine[s].unloads = engine[s].unloads | (1 << R.grant)
	/* Adopt on an engine that checks: record a number and shut the order out. */
	:: fencing(s) && R.grant != NONE && R.fence == 0 && fences < FENCES ->
		fences++; R.last++; R.fence = R.last; R.draining = true
	:: fencing(s) && R.fence > engine[s].number -> engine[s].number = R.fence
	/* Release with proof. */
	:: R.grant != NONE && allClosed(V) && V.absent -> remove()
#ifdef TIME_ONLY
	:: R.grant != NONE -> remove()
#endif
#ifdef UNFENCED
	:: R.grant != NONE && V.read && !V.held -> remove()
#endif
	/* Die, and come back under another name with nothing but the table. */
	:: deaths < DEATHS ->
		deaths++;
		mine = NONE;
		for (s : 0 .. SERVERS - 1) {
			forgetView(V)
		}
	fi;
	s = 0 }
	od
}

/* The network and the engines. */
proctype World() {
	byte o, s, x, y, inServer;
	byte copies[ITEMS];
end:
	do
	:: atomic {
	if
	:: s = 0
	:: SERVERS > 1 -> s = 1
	fi;
	if
	:: o = 0
	:: ORDERS > 1 -> o = 1
	:: ORDERS > 2 -> o = 2
	:: ORDERS > 3 -> o = 3
	fi;
	if
	:: skip
	:: order[o].state == flying ->
		s = order[o].server;
		if
		:: fencing(s) && (order[o].number < engine[s].number || order[o].boot != engine[s].boot) ->
			order[o].state = refused
		:: else ->
			engine[s].held = engine[s].held | (1 << order[o].grant);
			if
			:: fencing(s) -> engine[s].number = order[o].number
			:: else
			fi;
			order[o].state = done
		fi;
		order[o].server = 0;
		order[o].grant = 0;
		order[o].boot = 0;
		checkPromises()
	:: engine[s].unloads & engine[s].held ->
		engine[s].held = engine[s].held & ~engine[s].unloads
	:: boots < BOOTS ->
		boots++;
		engine[s].held = 0;
		engine[s].number = 0;
		engine[s].boot = 1 - engine[s].boot
	fi;
	o = 0;
	s = 0 }
	od
}

init {
	atomic {
		run Node(0);
		run Node(1);
		run World()
	}
}
