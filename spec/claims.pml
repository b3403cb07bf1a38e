/* At most once: one request of a caller, tried up to TRIES times through
 * different VMs, under a claim on the head of its key's range.
 *
 * Writes are conditional on the head's version; each may be delayed without
 * bound, and its reply may be lost. A VM may freeze or die at any step. A caller
 * may give up a try and start the next at any moment.
 */
#ifndef TRIES
#define TRIES 3
#endif
#define FREE 0
#define CLAIMED 1
#define DONE 2
#define RELEASED 3
#define FORGOTTEN 4

#define NOTHING 0
#define TAKE 1
#define RELEASE 2
#define RECORD 3

/* The store: what the range's head says of the key. */
byte head = FREE;
byte who;                /* the try that wrote it */
byte version;

/* Writes under way, one per try: what, and on which version. */
byte write[TRIES];
byte expects[TRIES];
byte reply[TRIES];       /* 0 none, 1 it took effect, 2 conflict */

/* Sends to the target. */
byte sent[TRIES];        /* 0 no, 1 under way, 2 runs or ran, 3 refused */
byte runs;
bool old;                /* the key is older than an outcome is kept */
byte started;            /* tries that the caller has made so far */
byte latest_told;        /* the try that was told, plus one */
byte told;               /* bit per try that was told 'not run' */

/* CLM-1: a write takes effect only on the version that it names. */
#ifdef NO_CONDITION
#define MATCHES(i) true
#else
#define MATCHES(i) (expects[i] == version)
#endif

inline apply(i) {
  if
  :: MATCHES(i) ->
     if
     :: write[i] == TAKE -> head = CLAIMED; who = i
     :: write[i] == RELEASE -> head = RELEASED
     :: write[i] == RECORD ->
#ifdef OUTCOME_FREES
        head = FREE                     /* mutation: it replaces the claim */
#else
        head = DONE
#endif
     fi;
     version++;
     if :: reply[i] = 1 :: reply[i] = 0 fi   /* the reply may be lost */
  :: else -> reply[i] = 2
  fi;
  write[i] = NOTHING
}

active proctype Store() {
end:
  do
  :: atomic { write[0] != NOTHING -> apply(0) }
  :: atomic { write[1] != NOTHING -> apply(1) }
#if TRIES > 2
  :: atomic { write[2] != NOTHING -> apply(2) }
#endif
#ifdef FORGET
  :: atomic { !old -> old = true }
  :: atomic { old && head != FREE -> head = FREE; version++ }
#endif
  od
}

/* Property 1: the request runs at most once. Property 3 (LATER): a try older
   than the one that was told 'not run' never runs afterwards. */
inline execute(i) {
  runs++;
  assert((told & (1 << i)) == 0);
#ifdef LATER
  assert(i + 1 >= latest_told);
#endif
  assert(runs == 1)
}

active proctype Target() {
end:
  do
  :: atomic { sent[0] == 1 -> if :: sent[0] = 2; execute(0) :: sent[0] = 3 fi }
  :: atomic { sent[1] == 1 -> if :: sent[1] = 2; execute(1) :: sent[1] = 3 fi }
#if TRIES > 2
  :: atomic { sent[2] == 1 -> if :: sent[2] = 2; execute(2) :: sent[2] = 3 fi }
#endif
  od
}

/* Property 2: 'not run' speaks of the try that is answered, which did not run and
   never will. 'No try ran' is said only where the claim was this try's. */
inline say_not_run() {
  assert(sent[i] != 2);
  told = told | (1 << i)
}

inline say_none_ran() {
  assert(runs == 0);
  latest_told = i + 1;
  say_not_run()
}

/* CLM-9: a released claim may be taken by a later try only. */
#ifdef TRY_NUMBERS
#define MAY_TAKE (seen == RELEASED && i > seen_who)
#else
#define MAY_TAKE (seen == RELEASED)
#endif

proctype Try(byte i) {
  byte seen;
  byte seen_who;
  byte seen_version;
  bool mine;
  bool unknown;

  atomic { started == i -> started++ };
  /* CLM-2: the head is read before the key's age is checked. */
#ifdef AGE_FIRST
  if :: old -> goto done :: else fi;
#endif
  if
  :: atomic { seen = head; seen_who = who; seen_version = version }
  :: true ->
     /* CLM-6: the store gives no answer, or the refusal comes before the claim:
        what other tries did is not known, and 'not run' says that it speaks of
        this try alone. */
#ifdef UNREAD_IS_NOT_RUN
     atomic { say_none_ran() };
#else
     atomic { say_not_run() };
#endif
     goto done
  :: goto done                       /* the VM dies or the caller gives up */
  fi;
  /* CLM-8: a key older than an outcome is kept is refused as unknown. */
#ifndef NO_AGE_CHECK
#ifndef AGE_FIRST
  if :: old -> goto done :: else fi;
#endif
#endif

  if
#ifdef IGNORE_CLAIM
  :: true
#else
  :: seen == FREE
  :: MAY_TAKE
#endif
  :: seen == DONE ->
     /* Property 4: a try that is told the outcome of another is told the truth. */
     assert(runs == 1);
     goto done
  :: seen != FREE && seen != DONE && !MAY_TAKE -> goto done  /* 'may have run' */
  fi;

  atomic { write[i] = TAKE; expects[i] = seen_version };
  if
  :: atomic { reply[i] == 1 -> mine = true; reply[i] = 0 }
  :: atomic { reply[i] == 2 -> reply[i] = 0 } goto done
  :: unknown = true                  /* no reply came in time */
  :: goto done
  fi;
  if
  :: unknown ->
     /* CLM-3: after a lost reply the head is read back; only its own try's
        number there makes the claim this try's. */
     if
     :: atomic { head == CLAIMED && who == i -> mine = true }
     :: atomic { else ->
#ifdef UNKNOWN_IS_MINE
          mine = true
#else
          skip
#endif
        }
     fi
  :: else
  fi;
#ifdef SEND_UNCLAIMED
  mine = true;
#endif
  if
  :: mine
  :: else ->
     /* The claim's write may take effect yet: it is given back once it stands. */
     atomic { say_not_run() };
     goto give_back
  fi;

  /* The claim is this try's. */
#ifdef EARLY_NOT_RUN
  atomic { say_not_run() };             /* mutation: while it may still be sent */
#endif
  if
  :: true                                        /* on to the send */
  :: goto done                                   /* dies before the send */
  :: goto release                                /* gives up before the send */
  fi;
send:
  /* CLM-4: sent once under a claim. */
  sent[i] = 1;
  if
  :: sent[i] == 2 -> goto record                 /* the answer came */
#ifdef EARLY_RECORD
  :: goto record                                 /* mutation: before the answer */
#endif
  :: sent[i] == 3 -> goto release                /* refused: did not run */
  :: goto done                                   /* dies, or silence */
#ifdef SILENCE_IS_NOT_RUN
  :: goto release
#endif
  fi;

record:
  /* CLM-7: the outcome is recorded beside the claim. */
  atomic { write[i] == NOTHING -> reply[i] = 0 };
  if
  :: atomic { head == CLAIMED && who == i -> write[i] = RECORD;
              expects[i] = version }
  :: atomic { else -> goto done }
  fi;
  if
  :: atomic { reply[i] == 1 -> reply[i] = 0 }
  :: true
  fi;
  goto done;

release:
  /* CLM-5: a claim is released only when nothing was sent or the target's
     refusal promises that it did not run; after that nothing is sent. */
  atomic { write[i] == NOTHING -> reply[i] = 0 };
  if
  :: atomic { head == CLAIMED && who == i ->
       /* Until it is released no other try can have run. */
       say_none_ran();
       write[i] = RELEASE; expects[i] = version }
  :: atomic { else -> say_not_run(); goto done }
  fi;
#ifdef SEND_AFTER_RELEASE
  if :: sent[i] == 0 -> sent[i] = 1; goto done :: true fi;
#endif
  atomic { reply[i] = 0; say_not_run() };
  goto done;

give_back:
  if
  :: atomic { head == CLAIMED && who == i && write[i] == NOTHING ->
       write[i] = RELEASE; expects[i] = version }
  :: true
  fi;
done:
  skip
}

init {
  byte i;
  atomic {
    i = 0;
    do :: i < TRIES -> run Try(i); i++ :: else -> break od
  }
}
