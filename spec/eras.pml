/*
 * The lease in a store that is restored from an older copy of itself.
 *
 * Two VMs want the lease on one record, as in orders.pml, but without deputies,
 * suspensions and lost answers. At some moment the store goes back to an earlier
 * state of the record, and its era rises by one. A VM sees the era when it reads or
 * writes the record, or by another call to the store, or not at all while it does
 * neither. Versions count the writes; the restored store gives them out again, so
 * that the era belongs to each comparison.
 *
 * Checked: two VMs never give orders within HANDOVER ticks of each other; no order
 * has a lower fencing number than one given before, nor the same one from another VM.
 *
 * Each of these breaks one rule and must yield a counterexample:
 *   NO_ERA_WAIT  a VM claims on a record of an earlier era as on any other
 *   ROW_FENCING  fencing numbers come from the record's version without the era
 *   ERA_GOES_ON      a holder that sees a new era goes on with its lease
 */

#ifndef TICKS
#define TICKS 4		/* ticks in one run */
#endif
#ifndef RESTORES
#define RESTORES 1	/* restorations in one run */
#endif
#define LENGTH 2	/* ticks for which a renewal lasts */
#define HANDOVER 1	/* ticks between the orders of two VMs */
#define WRITES 8	/* bound of versions within an era */

#define NOBODY 2

typedef row { byte holder; byte version; byte era };

byte now, era, restores;
row record;		/* as stored; era is that of its last write */
row past;		/* an earlier state of the record */

/* What a VM knows. */
typedef vm {
  bool read;		/* the record was read */
  row seen;
  byte changedAt;
  byte era; byte eraSince;
  bool heldThrough;	/* could act when it first saw the era */
  bool holds; byte actFrom; byte actUntil; byte fencing
};
vm vms[2];

byte lastActor = NOBODY, lastAt, lastFencing;

#define MAY_ACT(i) (vms[i].holds && now >= vms[i].actFrom && now < vms[i].actUntil)

inline see_era(i) {
  if
  :: vms[i].era < era ->
       vms[i].heldThrough = MAY_ACT(i);
       vms[i].era = era; vms[i].eraSince = now;
#ifndef ERA_GOES_ON
       vms[i].holds = false
#endif
  :: else
  fi
}

inline look(i) {
  see_era(i);
  if
  :: !vms[i].read || vms[i].seen.version != record.version || vms[i].seen.era != record.era ->
       vms[i].changedAt = now
  :: else
  fi;
  if
  :: vms[i].holds && record.holder != i -> vms[i].holds = false
  :: else
  fi;
  if
  :: record.era == era && record.holder != i -> vms[i].heldThrough = false
  :: else
  fi;
  vms[i].read = true;
  vms[i].seen.holder = record.holder; vms[i].seen.version = record.version;
  vms[i].seen.era = record.era
}

#define TRUSTED(i) (vms[i].era == 0 || vms[i].seen.era == vms[i].era)
#ifdef NO_ERA_WAIT
#define ERA_OVER(i) true
#else
#define ERA_OVER(i) (TRUSTED(i) || vms[i].heldThrough || now >= vms[i].eraSince + LENGTH)
#endif
#define FREE(i) (vms[i].seen.holder == NOBODY || now >= vms[i].changedAt + LENGTH || vms[i].heldThrough)

/* The condition of a write holds only in the era in which the record was read. */
#define CURRENT(i) (vms[i].era == era && vms[i].seen.version == record.version && vms[i].seen.era == record.era)

inline store(i) {
  past.holder = record.holder; past.version = record.version; past.era = record.era;
  record.holder = i; record.version++; record.era = era;
  vms[i].seen.holder = i; vms[i].seen.version = record.version; vms[i].seen.era = era;
  vms[i].changedAt = now
}

proctype machine(byte i) {
  bool direct;
  do
  :: atomic { now < TICKS && (!vms[i].read || vms[i].seen.version != record.version || vms[i].seen.era != record.era || vms[i].era < era) -> look(i) }
  :: atomic { now < TICKS && vms[i].era < era -> see_era(i) }
  :: atomic { now < TICKS && vms[i].read && !vms[i].holds && FREE(i) && ERA_OVER(i) && CURRENT(i) && record.version < WRITES ->
       direct = vms[i].seen.holder == NOBODY && TRUSTED(i) || !TRUSTED(i) && vms[i].heldThrough;
       store(i);
       vms[i].holds = true; vms[i].heldThrough = false;
#ifdef ROW_FENCING
       vms[i].fencing = record.version;
#else
       vms[i].fencing = era * WRITES + record.version;
#endif
       vms[i].actUntil = now + LENGTH;
       vms[i].actFrom = (direct -> now : now + HANDOVER)
     }
  :: atomic { now < TICKS && vms[i].holds && CURRENT(i) && record.version < WRITES ->
       store(i); vms[i].actUntil = now + LENGTH
     }
  :: atomic { MAY_ACT(i) && (lastActor != i || lastAt != now || lastFencing != vms[i].fencing) ->
       assert(lastActor == NOBODY || lastActor == i || now >= lastAt + HANDOVER);
       assert(vms[i].fencing >= lastFencing);
       assert(lastActor == NOBODY || lastActor == i || vms[i].fencing > lastFencing);
       lastActor = i; lastAt = now; lastFencing = vms[i].fencing
     }
  :: now >= TICKS -> break
  od
}

proctype clock() {
  do
  :: now < TICKS -> now++
  :: now >= TICKS -> break
  od
}

proctype drill() {
  do
  :: atomic { restores < RESTORES && now < TICKS ->
       restores++; era++;
       record.holder = past.holder; record.version = past.version; record.era = past.era
     }
  :: break
  od
}

init {
  atomic {
    record.holder = NOBODY; past.holder = NOBODY;
    run machine(0); run machine(1); run clock(); run drill()
  }
}
