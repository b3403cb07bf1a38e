/* Ownership of one target under VM leases.
 *
 * Three VM incarnations share one target. A process that is not scheduled while
 * time goes on is a frozen VM, so every freeze at every step is explored. One
 * unit of time is a tick; counters run down. One tick may be lost on a lease's
 * clock (SLIP), which stands for the clock rate error.
 *
 * FENCING 1: the target refuses a lower fencing number. 0: it ignores it.
 * FREEZE  1: a VM may freeze between its clock check and the order's send.
 * PROOF   1: a successor takes over only on positive proof that the process ended.
 */
#ifndef VMS
#define VMS 2
#endif
#ifndef FENCING
#define FENCING 1
#endif
#ifndef FREEZE
#define FREEZE FENCING
#endif
#ifndef PROOF
#define PROOF 0
#endif
#ifndef RENEWALS
#define RENEWALS 1
#endif
#if FENCING || VMS > 2
#define LEASE 1
#else
#define LEASE 3
#endif
#define ORDER 1
#define GRANT 1
#define FRESH 2
#ifdef NO_MARGIN
#define MARGIN 0
#else
#define MARGIN 1
#endif
#define NONE 0
#define LOAD 1
#define EVICT 2
#define NOBODY 9

/* The object API: lease entries and the owner record of the target. */
bool live[VMS] = true;
byte counter[VMS];
byte owner = 0;
byte owner_fence = 1;
byte unproved;           /* bit per incarnation superseded without proof */
byte takings = 1;        /* how often ownership was taken */

/* The target. */
byte seen_fence;
byte granted = 1;        /* latest taking under which an owner granted */
bool restarted;

/* Each VM. */
bool dead[VMS];
bool told_ended[VMS];
byte lease[VMS];
byte renewal[VMS];       /* what a renewal that is under way would still give */
byte fence[VMS];
byte taken[VMS];         /* which taking made it owner; the fence may not tell */
byte inherited[VMS];     /* unproved predecessors, as the record said on taking */
bool landed[VMS];        /* a renewal took effect, its reply is under way */
byte watched[VMS];       /* counter of the owner's entry as last seen */
byte unchanged[VMS];     /* ticks until the watched entry counts as lapsed */
byte settle[VMS];        /* ticks until a new owner grants */
byte quiet[VMS];         /* ticks until a new owner evicts */
bool fenced[VMS];        /* its fence order was accepted since the last restart */
byte fresh[VMS];         /* ticks that this acceptance still counts for */
byte ask[VMS];           /* what a grant that was asked for would still give */
byte grant[VMS];         /* ticks left on the last grant given as owner */
byte flight[VMS];        /* kind of the order under way */
byte flight_left[VMS];
bool slipped;

#if VMS > 2
#define THIRD (flight[2] == NONE || flight_left[2] > 0)
#else
#define THIRD true
#endif
#define COUNT(x) if :: x > 0 -> x-- :: else fi
#define RAISE_QUIET(v, ticks) if :: quiet[v] < ticks -> quiet[v] = ticks :: else fi

active proctype Clock() {
  byte v;
end:
  do
  :: atomic {
       (flight[0] == NONE || flight_left[0] > 0) &&
       (flight[1] == NONE || flight_left[1] > 0) && THIRD ->
       v = 0;
       do
       :: v < VMS ->
          if
          :: lease[v] > 0 && !slipped && VMS == 2 -> slipped = true
          :: true -> COUNT(lease[v])
          fi;
          COUNT(renewal[v]); COUNT(unchanged[v]); COUNT(settle[v]);
          COUNT(quiet[v]); COUNT(fresh[v]); COUNT(ask[v]); COUNT(grant[v]);
          COUNT(flight_left[v]);
          v++
       :: else -> break
       od;
       v = 0
     }
  od
}

/* OWN-12: a fencing target refuses a number lower than the highest it has seen. */
#ifdef NO_TARGET_CHECK
#define ACCEPTS(v) true
#else
#define ACCEPTS(v) (!FENCING || fence[v] >= seen_fence)
#endif

/* An order reaches the target within ORDER, or is lost. */
inline land(v) {
  if
  :: ACCEPTS(v) ->
     if :: FENCING -> seen_fence = fence[v] :: else fi;
     /* The first property. A load that comes late fills a free slot and no
        more, so on an ignoring target only evictions are promised. */
     if
     :: flight[v] == EVICT || FENCING -> assert(taken[v] >= granted)
     :: else
     fi;
     /* The second property: a successor's eviction meets no grant of an owner
        that it superseded. */
#ifndef FIRST_PROPERTY_ONLY
     if
     :: flight[v] == EVICT ->
        assert(taken[v] <= taken[0] || grant[0] == 0);
        assert(taken[v] <= taken[1] || grant[1] == 0);
#if VMS > 2
        assert(taken[v] <= taken[2] || grant[2] == 0)
#endif
     :: else
     fi
#endif
  :: else
  fi;
  flight[v] = NONE
}

active proctype Target() {
end:
  do
  :: atomic { flight[0] != NONE -> if :: land(0) :: flight[0] = NONE fi }
  :: atomic { flight[1] != NONE -> if :: land(1) :: flight[1] = NONE fi }
#if VMS > 2
  :: atomic { flight[2] != NONE -> if :: land(2) :: flight[2] = NONE fi }
#endif
#ifdef RESTART
  /* A restart forgets the highest number; the slots come back empty. */
  :: atomic { !restarted -> restarted = true; seen_fence = 0; granted = 0;
       fenced[0] = false; fenced[1] = false; grant[0] = 0; grant[1] = 0 }
#endif
  od
}

/* OWN-3: the lease is checked against the clock right before the order. */
#ifdef NO_LEASE_CHECK
#define FULL(me) (fence[me] > 0 && !told_ended[me])
#else
#define FULL(me) (fence[me] > 0 && !told_ended[me] && lease[me] > 0)
#endif
#define DEGRADED(me) (fence[me] > 0 && !told_ended[me] && lease[me] == 0)

/* OWN-7: on a fencing target an owner grants and evicts only after the target
   accepted its number. */
#ifdef NO_FENCE_ORDER
#define RAISED(me) true
#else
#define RAISED(me) (!FENCING || fenced[me])
#endif

/* OWN-8: on an ignoring target nobody evicts while an owner that was superseded
   without proof may still be granting. OWN-9: the record hands that list on. */
#ifdef NO_PROOF_RULE
#define MAY_EVICT(me) (quiet[me] == 0 && RAISED(me))
#else
#define MAY_EVICT(me) (quiet[me] == 0 && RAISED(me) && (FENCING || inherited[me] == 0))
#endif

#ifdef NO_ORDER_WAIT
#define SETTLE 0
#else
/* A fencing target refuses a predecessor's order once it has seen the successor's
   number, so that nothing is waited out there. */
#define SETTLE (FENCING -> 0 : ORDER + MARGIN)
#endif
#ifdef NO_FRESH_WAIT
#define QUIET (GRANT)
#else
#define QUIET (GRANT + FRESH)
#endif
#define LAPSE (LEASE + MARGIN)

#define SEEN(me) (counter[owner] + 16 * owner + 1)
#define MINE(me) ((watched[me] - 1) / 16 == owner && watched[me] > 0)
#if defined(NO_LEASE_WAIT)
#define LAPSED(me) (watched[me] == SEEN(me))
#elif defined(END_UNCONDITIONAL)
#define LAPSED(me) (MINE(me) && unchanged[me] == 0)
#else
#define LAPSED(me) (watched[me] == SEEN(me) && unchanged[me] == 0)
#endif
#ifdef NO_FRESH_RULE
#define MAY_GRANT(me) (FULL(me) || DEGRADED(me))
#else
#define MAY_GRANT(me) (FULL(me) || (DEGRADED(me) && (!FENCING || fresh[me] > 0)))
#endif

proctype Vm(byte me) {
  byte order = NONE;
  bool checked;
end:
  do
  :: dead[me] -> break
  :: atomic { !dead[me] && me < VMS - 1 -> dead[me] = true; lease[me] = 0;
       renewal[me] = 0; break }

  /* OWN-1: a renewal counts from its send, by the VM's own clock. */
  :: atomic { !told_ended[me] && renewal[me] == 0 && !landed[me] && counter[me] < RENEWALS && (VMS == 2 || me == 2) &&
       fence[me] > 0 -> renewal[me] = LEASE }
  :: atomic { renewal[me] > 0 && !landed[me] ->
       if
#ifdef RENEW_AFTER_END
       :: landed[me] = true
#else
       :: live[me] -> counter[me]++; landed[me] = true
       :: live[me] -> counter[me]++; renewal[me] = 0     /* the reply is lost */
       :: !live[me] -> told_ended[me] = true; lease[me] = 0; renewal[me] = 0
#endif
       fi }
  :: atomic { landed[me] -> landed[me] = false;
#ifdef LEASE_FROM_REPLY
       lease[me] = LEASE;
#else
       lease[me] = (renewal[me] > lease[me] -> renewal[me] : lease[me]);
#endif
       renewal[me] = 0 }

  /* Watch the owner's entry. */
  :: atomic { owner != me && live[owner] && fence[me] == 0 &&
       watched[me] != SEEN(me) ->
       watched[me] = SEEN(me); unchanged[me] = LAPSE }

  /* OWN-2: the entry is marked ended by conditional update, after it stood
     unchanged for a lease and the clock rate error. */
  :: atomic { !PROOF && owner != me && live[owner] && LAPSED(me) -> live[owner] = false; unproved = unproved | (1 << owner) }
  /* OWN-4: or on positive proof that the process has ended. */
  :: atomic { owner != me && live[owner] && dead[owner] -> live[owner] = false }
#ifdef SILENCE_IS_PROOF
  :: atomic { owner != me && live[owner] -> live[owner] = false }
#endif
  /* Proof may also come after the mark. */
  :: atomic { (inherited[me] & 1) && dead[0] -> inherited[me] = inherited[me] & 6;
       if :: owner == me -> unproved = unproved & 6 :: else fi;
       if :: FENCING && fenced[me] :: else -> RAISE_QUIET(me, GRANT) fi }
  :: atomic { (inherited[me] & 2) && dead[1] -> inherited[me] = inherited[me] & 5;
       if :: owner == me -> unproved = unproved & 5 :: else fi;
       if :: FENCING && fenced[me] :: else -> RAISE_QUIET(me, GRANT) fi }

  /* OWN-5: ownership is taken by conditional update with the next number, when
     the recorded incarnation is ended; OWN-6: then ORDER is waited out. */
  :: atomic { fence[me] == 0 && owner != me && !live[owner] && live[me] ->
#ifdef FORGET_UNPROVED
       unproved = unproved & (1 << owner);
#endif
#ifdef SAME_FENCE
       fence[me] = owner_fence;   /* mutation */
#else
       owner_fence++; fence[me] = owner_fence;
#endif
       takings++; taken[me] = takings; inherited[me] = unproved;
       owner = me; settle[me] = SETTLE; quiet[me] = GRANT; lease[me] = LEASE }

  /* The fence order: a round trip; its freshness counts from the send. */
  :: atomic { FENCING && fence[me] > 0 && !told_ended[me] && settle[me] == 0 &&
       fresh[me] == 0 && fence[me] >= seen_fence ->
       /* Whoever was superseded without proof may grant under an acceptance of its
          own that just preceded this one. */
       if :: !fenced[me] && inherited[me] != 0 -> RAISE_QUIET(me, QUIET) :: else fi;
       seen_fence = fence[me]; fenced[me] = true; fresh[me] = FRESH }

  /* The first grant of a new owner. */
  :: atomic { FULL(me) && settle[me] == 0 && RAISED(me) &&
       granted < taken[me] -> granted = taken[me] }

  /* OWN-10: a degraded owner grants what is resident; on a fencing target only
     while an acceptance of its number is fresh. A grant counts from the ask. */
  :: atomic { fence[me] > 0 && !told_ended[me] && settle[me] == 0 &&
       grant[me] == 0 && ask[me] == 0 && !checked -> ask[me] = GRANT }
  :: atomic { ask[me] > 0 && MAY_GRANT(me) -> checked = true }
  :: atomic { checked -> checked = false; grant[me] = ask[me]; ask[me] = 0 }

  /* Orders. OWN-11: a degraded owner loads into free slots and never evicts. */
  :: atomic { order == NONE && flight[me] == NONE && FULL(me) && settle[me] == 0 &&
       grant[me] == 0 && MAY_EVICT(me) -> order = EVICT;
#if FREEZE == 0
       flight[me] = order; flight_left[me] = ORDER; order = NONE
#endif
     }
  :: atomic { order == NONE && flight[me] == NONE && settle[me] == 0 &&
       (FULL(me) || DEGRADED(me)) -> order = LOAD;
#ifdef DEGRADED_EVICTS
       order = EVICT;
#endif
#if FREEZE == 0
       flight[me] = order; flight_left[me] = ORDER; order = NONE
#endif
     }
  :: atomic { order != NONE && flight[me] == NONE ->
       flight[me] = order; flight_left[me] = ORDER; order = NONE }
  od
}

init {
  atomic {
    fence[0] = 1; taken[0] = 1; lease[0] = LEASE; fenced[0] = true; seen_fence = 1;
    fresh[0] = FRESH; counter[0] = 0;
    run Vm(0); run Vm(1);
#if VMS > 2
    run Vm(2)
#endif
  }
}
