/* The bundle in force: one pointer in the object API, stage, acknowledge, accept.
 *
 * VMs 0 and 1 may each roll one bundle; VM 2 may register while a roll is under
 * way. Every step of a VM is optional: one that does not read, hear or answer is
 * cut from the store, from its peers, or frozen. Writes are conditional on the
 * pointer's version, may be delayed without bound, and their replies may be lost.
 * One unit of time is a tick.
 */
#ifndef VMS
#define VMS 2
#endif
#ifndef ROLLERS
#define ROLLERS 2
#endif
#define DOUBT 1
/* What is promised: after acceptance no VM admits a request under an older
   bundle for longer than this many ticks. */
#define BOUND DOUBT
#define NONE 0
#define STAGE 1
#define ACCEPT 2
#define CLEAR 3

#define COUNT(x) if :: x > 0 -> x-- :: else fi

/* The pointer. Stage numbers are never used again. */
byte accepted;           /* sequence number in force */
byte staged;             /* stage number, 0 none */
byte last_stage;
byte version;
byte accepted_by[4];     /* stage number accepted under each sequence number */
byte since;              /* ticks since the last acceptance, up to BOUND + 1 */

/* Registrations, in their own object. */
bool registered[VMS];
bool gone[VMS];          /* the process has ended, which can be proved */

/* Each VM. */
byte seq[VMS];           /* bundle in force on it */
bool has[VMS];           /* it has read the pointer since it registered */
byte acked[VMS];         /* stage number acknowledged and not known decided */
byte doubt[VMS];         /* ticks left on its last proof that it is undecided */
bool behind[VMS];        /* it has heard of a higher sequence number */
byte reading[VMS];       /* a read is under way: ticks left on what it proves */
bool read_done[VMS];
byte read_accepted[VMS];
byte read_staged[VMS];
byte read_last[VMS];
byte ack_seq[VMS];       /* the number that the acknowledged stage would have */

/* Each roller. */
byte write[ROLLERS];
byte expects[ROLLERS];
byte reply[ROLLERS];     /* 1 it took effect, 2 conflict */
byte stage_version[ROLLERS];
bool known[ROLLERS];     /* it knows that its stage took effect */
byte need[ROLLERS];      /* bit per VM whose acknowledgement is needed */
byte acks[ROLLERS];
bool listed[ROLLERS];    /* it has read the registrations */
byte stage[ROLLERS];     /* its stage number, 0 none */
byte stage_seq[ROLLERS];
bool deciding[ROLLERS];  /* an accept write may be under way */
byte told[ROLLERS];      /* 1 accepted, 2 not accepted */

/* BUN-1: a write takes effect only on the version that it names. */
#ifdef NO_CONDITION
#define MATCHES(i) true
#else
#define MATCHES(i) (expects[i] == version)
#endif

inline apply(i) {
  if
  :: MATCHES(i) ->
     version++;
     if
     :: write[i] == STAGE -> last_stage++; staged = last_stage;
        stage[i] = staged; stage_seq[i] = accepted + 1; stage_version[i] = version
     :: write[i] == ACCEPT -> accepted = stage_seq[i]; staged = 0; since = 0;
        /* Property 3: one roll wins each sequence number, and a roll that was
           told 'not accepted' is not accepted later. */
        assert(accepted_by[accepted] == 0 && told[i] != 2);
        accepted_by[accepted] = stage[i]
     :: write[i] == CLEAR -> staged = 0
     fi;
     if :: reply[i] = 1 :: reply[i] = 0 fi
  :: else -> reply[i] = 2
  fi;
  write[i] = NONE; expects[i] = 0
}

active proctype Store() {
end:
  do
  :: atomic { write[0] != NONE -> apply(0) }
#if ROLLERS > 1
  :: atomic { write[1] != NONE -> apply(1) }
#endif
  od
}

inline count_vm(v) { COUNT(doubt[v]); COUNT(reading[v]) }

/* BUN-9: a VM that acknowledged and heard no decision serves only while it has a
   fresh proof that there is none. BUN-10: behind a peer it refuses. */
#ifdef NO_DOUBT_RULE
#define IN_DOUBT(v) false
#else
#define IN_DOUBT(v) (acked[v] > 0 && doubt[v] == 0)
#endif
#ifdef STORE_ALWAYS
#define MAY_SERVE(v) (has[v] && !gone[v] && doubt[v] > 0)
#else
#define MAY_SERVE(v) (has[v] && !gone[v] && !IN_DOUBT(v) && !behind[v])
#endif

active proctype Clock() {
end:
  do
  :: atomic {
       true ->
#ifdef OUTAGE
       /* Property 4: with the mesh whole and nothing staged, a total outage of
          the object API stops no VM from serving. */
       assert(!has[0] || gone[0] || MAY_SERVE(0));
       assert(!has[1] || gone[1] || MAY_SERVE(1));
#endif
       if :: since <= BOUND -> since++ :: else fi;
       count_vm(0); count_vm(1);
#if VMS > 2
       count_vm(2)
#endif
     }
  od
}

/* BUN-3: a bundle is adopted only when its number is higher. */
#ifdef ADOPT_ANY
#define NEWER(v, number) (number != seq[v])
#else
#define NEWER(v, number) (number > seq[v])
#endif

/* Values that no later step reads are set back to zero. That joins states which
   differ in nothing that can matter, so no interleaving is lost. */
inline decided(v) { acked[v] = 0; ack_seq[v] = 0; doubt[v] = 0 }

inline adopt(v, number) {
  if
  :: NEWER(v, number) ->
     assert(number > seq[v]);           /* property 1: never goes down */
     seq[v] = number; behind[v] = false;
     /* What this VM acknowledged is decided once the number that it would have
        had is in force. */
     if :: seq[v] >= ack_seq[v] -> decided(v) :: else fi
  :: else
  fi
}

/* BUN-8: the word of the roller itself, while no accept write of its may be
   under way, proves that its stage is undecided. */
#ifdef DECIDING_IS_UNDECIDED
#define UNDECIDED(o) (told[o] == 0)   /* mutation */
#else
#define UNDECIDED(o) (told[o] == 0 && !deciding[o])
#endif

inline hear(v, o) {
  if
  :: seq[o] > seq[v] ->
     if :: behind[v] = true :: adopt(v, seq[o]) fi
  :: else ->
     if
     :: o < ROLLERS && acked[v] > 0 && stage[o] == acked[v] && UNDECIDED(o) ->
        doubt[v] = DOUBT
     :: else
     fi
  fi
}

/* BUN-4: what a read proves counts from its asking. */
#ifdef DOUBT_FROM_REPLY
#define PROVES(v) DOUBT
#else
#define PROVES(v) reading[v]
#endif
/* BUN-7: a VM reads the pointer after its registration took effect, and serves
   only then. */
#ifdef READ_BEFORE_REGISTERING
#define MAY_READ(v) true
#else
#define MAY_READ(v) registered[v]
#endif
/* BUN-6: a read from before the stage was written decides nothing about it. */
#ifdef STALE_READ_DECIDES
#define DECIDES(v) true
#else
#define DECIDES(v) (read_last[v] >= acked[v])
#endif
#ifdef OUTAGE
#define STORE_ANSWERS false
#else
#define STORE_ANSWERS true
#endif

/* BUN-14: a VM acknowledges only a stage that follows the bundle it has in force.
   Else the doubt of the new stage would take the place of the doubt of the one
   before, which may have been accepted meanwhile. */
#ifdef ACK_WHEN_BEHIND
#define FOLLOWS(v, i) (stage_seq[i] > seq[v])
#else
#define FOLLOWS(v, i) (stage_seq[i] == seq[v] + 1)
#endif
#define CAN_ACK(v, i) (has[v] && !gone[v] && registered[v] && known[i] && !gone[i] && stage[i] > acked[v] && FOLLOWS(v, i) && UNDECIDED(i))
inline acknowledge(v, i) {
#ifdef ACK_WITHOUT_DOUBT
  skip;
#else
  acked[v] = stage[i]; ack_seq[v] = stage_seq[i]; doubt[v] = DOUBT;
#endif
  if :: !deciding[i] -> acks[i] = acks[i] | (1 << v) :: else fi
}

proctype Vm(byte v) {
end:
  do
  :: gone[v] -> break
  :: atomic { !gone[v] && v == 1 && VMS == 2 && ROLLERS < 2 -> gone[v] = true; registered[v] = false }
  :: atomic { !registered[v] && !gone[v] -> registered[v] = true }

  /* Read the pointer: asked, read there, applied here, each at its own time. */
  :: atomic { reading[v] == 0 && !read_done[v] && !gone[v] && MAY_READ(v) &&
       STORE_ANSWERS ->
       reading[v] = DOUBT }
  :: atomic { reading[v] > 0 && !read_done[v] -> read_done[v] = true;
       read_accepted[v] = accepted; read_staged[v] = staged;
       read_last[v] = last_stage }
  :: atomic { read_done[v] -> read_done[v] = false;
       adopt(v, read_accepted[v]);
       if
       :: acked[v] > 0 && read_staged[v] == acked[v] -> doubt[v] = PROVES(v)
       :: acked[v] > 0 && read_staged[v] < acked[v] && DECIDES(v) -> decided(v)
       /* BUN-13: a VM that reads of a stage that it did not acknowledge is in
          doubt of it too: it may have registered after the roller's list. */
#ifndef NEWCOMER_NOT_IN_DOUBT
       :: read_staged[v] > acked[v] -> acked[v] = read_staged[v];
          ack_seq[v] = read_accepted[v] + 1; doubt[v] = PROVES(v)
#endif
       :: else
       fi;
       has[v] = true; reading[v] = 0;
       read_accepted[v] = 0; read_staged[v] = 0; read_last[v] = 0 }

  /* Admit a request. */
  :: atomic { MAY_SERVE(v) ->
       /* Property 2: the bound on serving an older bundle. */
       assert(seq[v] >= accepted || since <= BOUND) }

#if ROLLERS > 0
  /* BUN-2: acknowledge a stage (its content verified), and be in doubt of it
     from then on. The roller's message is a first proof. */
  :: atomic { CAN_ACK(v, 0) -> acknowledge(v, 0) }
#endif
#if ROLLERS > 1
  :: atomic { CAN_ACK(v, 1) -> acknowledge(v, 1) }
#endif

  /* Hear a peer. */
  :: atomic { !gone[v] && has[v] && v != 0 && !gone[0] && has[0] -> hear(v, 0) }
  :: atomic { !gone[v] && has[v] && v != 1 && !gone[1] && has[1] -> hear(v, 1) }
  od
}

#define GONE_MASK (gone[0] + 2 * gone[1])
#if VMS > 2
#define REGISTERED_MASK (registered[0] + 2 * registered[1] + 4 * registered[2])
#else
#define REGISTERED_MASK (registered[0] + 2 * registered[1])
#endif
#ifdef WAIVER
#define ALL_ACKED(i) true
#elif defined(MAJORITY)
#define ALL_ACKED(i) ((acks[i] & (1 << i)) != 0)
#else
#define ALL_ACKED(i) ((need[i] & ~(acks[i] | GONE_MASK)) == 0)
#endif
#ifdef LIST_BEFORE_STAGE
#define MAY_LIST(i) true
#else
#define MAY_LIST(i) known[i]
#endif

inline tell(i, what) {
  told[i] = what; known[i] = false; listed[i] = false; deciding[i] = false;
  need[i] = 0; acks[i] = 0; stage_version[i] = 0; reply[i] = 0
}

proctype Roller(byte i) {
end:
  do
  :: gone[i] || told[i] != 0 -> break
  /* Stage. A roller that finds another stage may clear it (its roller is gone,
     or its operator withdrew it); the version makes that safe. */
  :: atomic { has[i] && !gone[i] && stage[i] == 0 && write[i] == NONE && staged == 0 ->
       write[i] = STAGE; expects[i] = version }
#if ROLLERS > 1
  :: atomic { has[i] && !gone[i] && staged != 0 && staged != stage[i] ->
       staged = 0; version++ }
#endif
  :: atomic { stage[i] == 0 && reply[i] == 2 -> tell(i, 2) }
  /* The stage is known by its reply, or by reading back one's own write. */
  :: atomic { stage[i] > 0 && !known[i] && (reply[i] == 1 || staged == stage[i]) ->
       reply[i] = 0; known[i] = true }
  /* BUN-11: the registrations are read after the stage took effect. */
  :: atomic { !listed[i] && MAY_LIST(i) -> listed[i] = true;
       need[i] = REGISTERED_MASK }
  /* BUN-5: before the accept write is sent, the roller stops saying that the
     stage is undecided. */
  :: atomic { known[i] && listed[i] && !deciding[i] && write[i] == NONE &&
       ALL_ACKED(i) -> deciding[i] = true; write[i] = ACCEPT;
       expects[i] = stage_version[i]; stage_version[i] = 0;
       need[i] = 0; acks[i] = 0 }
  :: atomic { deciding[i] && reply[i] == 1 -> tell(i, 1);
       assert(accepted_by[stage_seq[i]] == stage[i]); adopt(i, stage_seq[i]) }
  :: atomic { deciding[i] && reply[i] == 2 -> tell(i, 2) }
  /* BUN-12: no reply. Read back; if the stage still stands, a further
     conditional write clears it, so that the first can't take effect later. */
  :: atomic { deciding[i] && reply[i] == 0 && !gone[i] ->
       if
       :: accepted_by[stage_seq[i]] == stage[i] -> tell(i, 1);
          adopt(i, stage_seq[i])
       :: else ->
#ifndef NO_SETTLE
          if :: staged == stage[i] -> staged = 0; version++ :: else fi;
#endif
          tell(i, 2)
       fi }
  od
}

init {
  atomic {
    registered[0] = true; registered[1] = true;
#ifdef OUTAGE
    has[0] = true; has[1] = true;
#endif
    run Vm(0); run Vm(1);
#if VMS > 2
    run Vm(2);
#endif
#if ROLLERS > 0 && !defined(OUTAGE)
    run Roller(0);
#if ROLLERS > 1
    run Roller(1);
#endif
#endif
    skip
  }
}
