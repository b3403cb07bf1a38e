/* Grants for one adapter in one slot of one target, and its safe eviction.
 *
 * One VM or two carry requests under grants; one owner grants and evicts and may be
 * replaced at any moment by a new one that knows nothing. A VM that is not
 * scheduled is frozen, a VM that dies leaves its request running, and a VM cut
 * from the owner just does not renew. One unit of time is a tick; MARGIN stands
 * for the clock rate error (one tick of a VM's clock may be lost).
 *
 * Assumptions: a request reaches its target within SEND after the VM's clock
 * check, or never; an order within ORDER after its send, or never.
 */
#ifndef VMS
#define VMS 1
#endif
#ifndef FREEZE
#define FREEZE 0
#endif
#define GRANT 1
#define SEND 1
#define ORDER 1
#ifdef NO_MARGIN
#define MARGIN 0
#else
#define MARGIN 1
#endif
/* With two VMs no tick is lost, which keeps the model small. */
#ifdef SLIP_ALWAYS
#define SLIP true
#else
#define SLIP (VMS == 1)
#endif

#define COUNT(x) if :: x > 0 -> x-- :: else fi

/* Target. */
bool resident = true;
byte request[VMS];       /* 0 none, 1 under way, 2 running */
byte request_left[VMS];
bool evict;              /* an evict order is under way */
byte evict_left;
byte evict_sure;         /* 0 unknown, 1 the reply came */

/* The newest report that the owner can have; it lags without bound. */
bool report_none;        /* it shows none running and none queued */
bool report_late;        /* as_of is later than the moment that the owner asked for */

/* VMs, each with at most one grant and one attempt. */
byte ask[VMS];
bool reply[VMS];         /* the owner's reply is under way */
byte grant[VMS];
bool holds[VMS];         /* has a grant it did not give back */
byte attempt[VMS];       /* 0 none, 1 open */
bool unsure[VMS];        /* an attempt under this grant ended unseen */

/* Owner. */
byte held[VMS];          /* 0 none, else ticks left plus one */
byte quiet;              /* ticks until the moment that a report must be later than */
bool doubt;              /* some grant ran out, or a predecessor's are unknown */
bool moment;             /* that moment was read on the target's clock */
byte evicting;           /* 0 no, 1 sent, 2 its outcome is unknown */
byte evict_wait;
bool replaced;
bool slipped;

#if VMS > 1
#define NONE_RUNNING (request[0] != 2 && request[1] != 2)
#define SECOND_LANDED (request[1] != 1 || request_left[1] > 0)
#define NO_GRANTS (held[0] == 0 && held[1] == 0)
#else
#define NONE_RUNNING (request[0] != 2)
#define SECOND_LANDED true
#define NO_GRANTS (held[0] == 0)
#endif

#ifdef NO_SEND_WAIT
#define EXPIRED (MARGIN)
#else
#define EXPIRED (SEND + MARGIN)
#endif

/* GRA-11: of several moments the latest counts; a new one never shortens it. */
#ifdef LAST_MOMENT
#define WAIT_FOR(ticks) quiet = (ticks)
#else
#define WAIT_FOR(ticks) quiet = (quiet > (ticks) -> quiet : (ticks))
#endif

inline count_vm(v) {
  COUNT(request_left[v]);
  COUNT(ask[v]);
  if
  :: SLIP && grant[v] > 0 && !slipped -> slipped = true
  :: true -> COUNT(grant[v])
  fi;
  if
  :: held[v] > 1 -> held[v]--
  /* GRA-4: a grant that ran out leaves doubt until a later report. */
  :: held[v] == 1 -> held[v] = 0; doubt = true; moment = false;
     WAIT_FOR(EXPIRED); report_late = false
  :: else
  fi
}

active proctype Clock() {
end:
  do
  :: atomic {
       (request[0] != 1 || request_left[0] > 0) &&
       SECOND_LANDED &&
       (!evict || evict_left > 0) ->
       COUNT(quiet); COUNT(evict_left); COUNT(evict_wait);
       count_vm(0);
#if VMS > 1
       count_vm(1)
#endif
     }
  od
}

inline arrive(v) {
  if
  :: resident -> request[v] = 2
  :: else -> request[v] = 0            /* refused: not loaded, did not run */
  fi
}

active proctype Target() {
end:
  do
  :: atomic { request[0] == 1 -> if :: arrive(0) :: request[0] = 0 fi }
  :: atomic { request[0] == 2 -> request[0] = 0 }
#if VMS > 1
  :: atomic { request[1] == 1 -> if :: arrive(1) :: request[1] = 0 fi }
  :: atomic { request[1] == 2 -> request[1] = 0 }
#endif
  /* Property: an adapter that a running request uses is never evicted. */
  :: atomic { evict ->
       if
       :: assert(NONE_RUNNING);
          resident = false; evict = false;
          if :: evict_sure = 1 :: evict_sure = 0 fi   /* the reply may be lost */
       :: evict = false; evict_sure = 0
       fi }
  /* The report is made anew now and then. */
  :: atomic { report_none = (NONE_RUNNING);
       report_late = moment }
  od
}

/* GRA-1: a grant counts from its asking, on the VM's clock. */
#ifdef GRANT_FROM_REPLY
#define LEFT(v) GRANT
#else
#define LEFT(v) ask[v]
#endif
/* GRA-2: right before the send the VM checks the grant against its clock. */
#ifdef NO_BEGIN_CHECK
#define MAY_BEGIN(v) holds[v]
#else
#define MAY_BEGIN(v) (holds[v] && grant[v] > 0)
#endif

proctype Vm(byte v) {
end:
  do
  /* Ask for a grant, or for its renewal. */
  :: atomic { ask[v] == 0 && !reply[v] -> ask[v] = GRANT }
  :: atomic { reply[v] ->
       reply[v] = false;
       if
       :: LEFT(v) > 0 -> grant[v] = LEFT(v); holds[v] = true
       :: else
       fi;
       ask[v] = 0 }
  :: atomic { reply[v] -> reply[v] = false; ask[v] = 0 }   /* lost */

  /* Begin: clock check and send. */
#if FREEZE
  :: atomic { attempt[v] == 0 && request[v] == 0 && MAY_BEGIN(v) ->
       attempt[v] = 2 }
  :: atomic { attempt[v] == 2 -> attempt[v] = 1;
       request[v] = 1; request_left[v] = SEND }
#else
  :: atomic { attempt[v] == 0 && request[v] == 0 && MAY_BEGIN(v) ->
       attempt[v] = 1; request[v] = 1; request_left[v] = SEND }
#endif
  /* The end of the attempt is seen: whole answer or refusal. */
  :: atomic { attempt[v] == 1 && request[v] == 0 -> attempt[v] = 0 }
  /* Or the connection broke, or the wait was given up. */
  :: atomic { attempt[v] == 1 && request[v] != 0 -> attempt[v] = 0;
       unsure[v] = true }

  /* GRA-3: a grant is given back only when no attempt is open under it. */
#ifdef GIVE_BACK_EARLY
  :: atomic { holds[v] ->
#else
  :: atomic { holds[v] && attempt[v] == 0 ->
#endif
       holds[v] = false; grant[v] = 0;
       /* GRA-10: a reply to an ask from before the give-back is ignored. */
#ifndef REPLY_AFTER_GIVE_BACK
       reply[v] = false; ask[v] = 0;
#endif
       if
       :: held[v] > 0 ->
          /* GRA-6: one under which an attempt's end was not seen is given back
             as such, and is treated like one that ran out. */
#ifdef NO_UNSURE
          held[v] = 0;
#else
          if
          :: unsure[v] -> held[v] = 0; doubt = true; moment = false;
             WAIT_FOR(EXPIRED); report_late = false
          :: else -> held[v] = 0
          fi;
#endif
          unsure[v] = false
       /* The message is lost. The owner's record stands for all grants of this
          VM, so what was unsure stays so until one of them ends there. */
       :: held[v] > 0
       :: held[v] == 0 -> unsure[v] = false
       fi }
  od
}


/* GRA-5: the report must be later than the moment after which nothing can arrive
   under the doubtful grant, read on the target's own clock. */
#ifdef ANY_REPORT
#define PROVED (!doubt || report_none)
#else
#define PROVED (!doubt || (quiet == 0 && report_none && report_late))
#endif
#ifdef NO_REPORT
#define FREE (quiet == 0)
#else
#define FREE PROVED
#endif
/* GRA-7: while an evict's outcome is unknown nothing is granted. */
#ifdef GRANT_WHILE_EVICTING
#define GRANTABLE true
#else
#define GRANTABLE (evicting == 0)
#endif

inline give(v) {
  held[v] = GRANT + MARGIN + 1;
  reply[v] = true
}

active proctype Owner() {
end:
  do
  :: atomic { ask[0] > 0 && !reply[0] && resident && GRANTABLE -> give(0) }
#if VMS > 1
  :: atomic { ask[1] > 0 && !reply[1] && resident && GRANTABLE -> give(1) }
#endif

  :: atomic { doubt && quiet == 0 && !moment -> moment = true; report_late = false }

#ifdef IGNORE_GRANTS
  :: atomic { evicting == 0 && resident ->
#else
  :: atomic { evicting == 0 && resident && NO_GRANTS && FREE ->
#endif
       evicting = 1; evict = true; evict_left = ORDER; evict_wait = ORDER + MARGIN;
       doubt = false; moment = false; quiet = 0; report_late = false; evict_sure = 0 }
  :: atomic { evicting == 1 && !evict && evict_sure == 1 -> evicting = 0 }
  /* GRA-8: the reply did not come; the order may still take effect until ORDER
     has been waited out, so only then does a report decide what is resident. */
#ifdef NO_EVICT_WAIT
  :: atomic { evicting == 1 -> evicting = 0 }
#else
  :: atomic { evicting == 1 && evict_wait == 0 -> evicting = 0 }
#endif
  /* Load again. */
  :: atomic { evicting == 0 && !resident && NO_GRANTS -> resident = true }

  /* GRA-9: a new owner knows nothing: all grants of its predecessor count as
     held until they must have run out, and then leave doubt. */
  :: atomic { !replaced && evicting == 0 -> replaced = true;
       held[0] = 0;
#if VMS > 1
       held[1] = 0;
#endif
#ifndef NEW_OWNER_TRUSTS
       doubt = true; moment = false; report_late = false; quiet = GRANT + EXPIRED
#endif
     }
  od
}

init {
  atomic {
    run Vm(0);
#if VMS > 1
    run Vm(1)
#endif
  }
}
