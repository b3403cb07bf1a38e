/* The bundle in force: one pointer in the object API, stage, acknowledge, accept.
 *
 * VMs 0 and 1 may each roll one bundle; VM 2 may register while a roll is under
 * way. Every step of a VM is optional: one that does not read, hear or answer is
 * cut from the store, from its peers, or frozen. Writes are conditional on the
 * pointer's version, may be delayed without bound, and their replies may be lost.
 * A stage's number is never used again and becomes the bundle's sequence number.
 * One unit of time is a tick. ROLLS_ONLY: any number of VMs that acknowledge
 * whenever they like, so that a roller may go on to accept at any moment; whatever
 * the pointer and the rollers do with real VMs they can do here too. A value that no later step reads is set back to
 * zero: that joins states which differ in nothing that can matter.
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

#define COUNT(x) if :: x > 0 -> x-- :: else fi
#define RAISE(x, y) if :: y > x -> x = y :: else fi

/* The pointer. */
byte accepted;           /* number in force */
byte staged;             /* staged number, 0 none */
byte last_stage;
byte version;
byte won;                /* bit per number that was accepted */
byte since;              /* ticks since the last acceptance, up to BOUND + 1 */

/* Registrations, in their own object. */
bool registered[VMS];
bool gone[VMS];          /* the process has ended, which can be proved */

/* Each VM. */
byte seq[VMS];           /* number in force on it */
byte heard[VMS];         /* highest number that it knows to be accepted */
byte decided[VMS];       /* all stages up to this number are known decided */
bool has[VMS];           /* it has read the pointer since it registered */
byte doubted[VMS];       /* stage that it knows of and not its decision, 0 none */
byte proof[VMS];         /* ticks left on its last proof that it is undecided */
byte reading[VMS];       /* a read is under way: ticks left on what it proves */
bool read_done[VMS];
byte read_accepted[VMS];
byte read_staged[VMS];
byte read_last[VMS];

/* Each roller. */
byte write[ROLLERS];
byte expects[ROLLERS];
byte base[ROLLERS];      /* the number in force that its order replaces */
byte reply[ROLLERS];     /* 1 it took effect, 2 conflict */
byte stage_version[ROLLERS];
bool known[ROLLERS];     /* it knows that its stage took effect */
byte need[ROLLERS];      /* bit per VM whose acknowledgement is needed */
byte acks[ROLLERS];
bool listed[ROLLERS];    /* it has read the registrations */
byte stage[ROLLERS];     /* its stage number, 0 none */
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
        stage[i] = staged; stage_version[i] = version
     :: write[i] == ACCEPT ->
        /* Property 3: of two rolls that would replace the same bundle one wins,
           and a roll that was told 'not accepted' is not accepted later. */
        assert(accepted == base[i] && told[i] != 2);
        accepted = stage[i]; staged = 0; since = 0;
        won = won | (1 << stage[i])
     fi;
     if :: reply[i] = 1 :: reply[i] = 0 fi
  :: else -> reply[i] = 2
  fi;
  if :: told[i] != 0 -> reply[i] = 0 :: else fi;
  write[i] = NONE; expects[i] = 0
}

active proctype Store() {
end:
  do
  :: atomic { write[0] != NONE -> apply(0) }
#if ROLLERS > 1
  :: atomic { write[1] != NONE -> apply(1) }
#endif
#if ROLLERS > 2
  :: atomic { write[2] != NONE -> apply(2) }
#endif
  od
}

inline count_vm(v) { COUNT(proof[v]); COUNT(reading[v]) }

/* BUN-9: a VM that knows of a stage and not of its decision serves only while it
   has a fresh proof that there is none. BUN-10: behind what it heard it refuses. */
#ifdef NO_DOUBT_RULE
#define IN_DOUBT(v) false
#else
#define IN_DOUBT(v) (doubted[v] > 0 && proof[v] == 0)
#endif
#ifdef BEHIND_SERVES
#define IS_BEHIND(v) false
#else
#define IS_BEHIND(v) (seq[v] < heard[v])
#endif
#ifdef STORE_ALWAYS
#define MAY_SERVE(v) (has[v] && !gone[v] && proof[v] > 0)
#else
#define MAY_SERVE(v) (has[v] && !gone[v] && !IN_DOUBT(v) && !IS_BEHIND(v))
#endif

#ifndef ROLLS_ONLY
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

#endif

/* What a VM knows only grows. */
inline decide(v, number) {
  RAISE(decided[v], number);
  if
  :: doubted[v] <= decided[v] -> doubted[v] = 0; proof[v] = 0
  :: else
  fi
}

/* BUN-3: a bundle counts only when its number is higher. */
inline adopt(v, number) {
#ifdef ADOPT_ANY
  heard[v] = number;
#else
  RAISE(heard[v], number);
#endif
  decide(v, number)
}

/* A VM learns of a stage, from anybody: it is in doubt of it until it knows the
   decision. A stage begins only when all before it are decided. */
inline learn(v, number, ticks) {
  if
  :: number > decided[v] && number > doubted[v] ->
     decide(v, number - 1); doubted[v] = number; proof[v] = ticks
  :: number > 0 && number == doubted[v] -> RAISE(proof[v], ticks)
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
/* BUN-15: anybody else only hands on a proof, which keeps its age. */
#ifdef RELAY_IS_FRESH
#define HANDED_ON(o) DOUBT
#else
#define HANDED_ON(o) proof[o]
#endif
#define OWN_STAGE(o) (o < ROLLERS && known[o] && stage[o] == doubted[o] && UNDECIDED(o))

inline hear(v, o) {
  adopt(v, heard[o]);
  decide(v, decided[o]);
  if
  :: doubted[o] > 0 && OWN_STAGE(o) -> learn(v, doubted[o], DOUBT)
  :: doubted[o] > 0 && !OWN_STAGE(o) -> learn(v, doubted[o], HANDED_ON(o))
  :: else
  fi;
  if
  :: o < ROLLERS && told[o] == 2 && stage[o] > 0 && stage[o] == doubted[v] ->
     decide(v, stage[o])
  :: else
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
#define READ_DECIDES(v) doubted[v]
#else
#define READ_DECIDES(v) read_last[v]
#endif
#ifdef OUTAGE
#define STORE_ANSWERS false
#else
#define STORE_ANSWERS true
#endif
/* BUN-13: a VM that reads of a stage that it did not acknowledge is in doubt of
   it too: it may have registered after the roller's list. */
#ifdef NEWCOMER_NOT_IN_DOUBT
#define READ_STAGE(v) (read_staged[v] > 0 && read_staged[v] == doubted[v])
#else
#define READ_STAGE(v) (read_staged[v] > 0)
#endif

/* BUN-2: acknowledge a stage (its content verified), and be in doubt of it from
   then on. The first asking is a first proof: without this VM's word, which is
   not given yet, the stage is not accepted. */
#define CAN_ACK(v, i) (has[v] && !gone[v] && registered[v] && known[i] && !gone[i] && (acks[i] & (1 << v)) == 0 && stage[i] > decided[v] && stage[i] >= doubted[v] && UNDECIDED(i))
inline acknowledge(v, i) {
  /* BUN-14: the message names the bundle in force when it was staged. Without it
     the doubt of this stage would hide that of the one before, which may have
     been accepted meanwhile. */
#ifndef ACK_HIDES
  adopt(v, base[i]);
#endif
#ifndef ACK_WITHOUT_DOUBT
  learn(v, stage[i], DOUBT);
#endif
  acks[i] = acks[i] | (1 << v)
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
       :: read_staged[v] == 0 -> decide(v, READ_DECIDES(v))
       :: READ_STAGE(v) -> learn(v, read_staged[v], PROVES(v))
       :: else
       fi;
       has[v] = true; reading[v] = 0;
       read_accepted[v] = 0; read_staged[v] = 0; read_last[v] = 0 }

  /* Put in force what is known to be accepted, once it is here and verified. */
  :: atomic { heard[v] != seq[v] && !gone[v] ->
       assert(heard[v] > seq[v]);       /* property 1: never goes down */
       seq[v] = heard[v] }

  /* Admit a request. */
  :: atomic { MAY_SERVE(v) ->
       /* Property 2: the bound on serving an older bundle, and none once a newer
          one was heard of. */
       assert(seq[v] >= accepted || since <= BOUND);
       assert(seq[v] >= heard[v]) }

#if ROLLERS > 0
  :: atomic { CAN_ACK(v, 0) -> acknowledge(v, 0) }
#endif
#if ROLLERS > 1
  :: atomic { CAN_ACK(v, 1) -> acknowledge(v, 1) }
#endif

  /* Hear a peer, or itself as the roller. */
  :: atomic { !gone[v] && has[v] && !gone[0] && has[0] -> hear(v, 0) }
  :: atomic { !gone[v] && has[v] && !gone[1] && has[1] -> hear(v, 1) }
  od
}

#define GONE_MASK (gone[0] + 2 * gone[1])
#if VMS > 2
#define REGISTERED_MASK (registered[0] + 2 * registered[1] + 4 * registered[2])
#else
#define REGISTERED_MASK (registered[0] + 2 * registered[1])
#endif
#if defined(WAIVER) || defined(ROLLS_ONLY)
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
     or has not ended it for long); the version makes that safe. */
  :: atomic { told[i] == 0 && has[i] && !gone[i] && stage[i] == 0 &&
       write[i] == NONE && reply[i] == 0 && staged == 0 ->
       write[i] = STAGE; expects[i] = version; base[i] = accepted }
#if ROLLERS > 1
  :: atomic { has[i] && !gone[i] && staged != 0 && staged != stage[i] ->
       staged = 0; version++ }
#endif
  :: atomic { stage[i] == 0 && reply[i] == 2 ->
       if :: tell(i, 2) :: reply[i] = 0 fi }
  /* The stage is known by its reply, or by reading back one's own write. */
  :: atomic { stage[i] > 0 && !known[i] && (reply[i] == 1 || staged == stage[i]) ->
       reply[i] = 0; known[i] = true;
       adopt(i, base[i]); learn(i, stage[i], DOUBT) }
  /* BUN-11: the registrations are read after the stage took effect. */
  :: atomic { !listed[i] && MAY_LIST(i) -> listed[i] = true;
       need[i] = REGISTERED_MASK }
  /* BUN-5: before the accept write is sent, the roller stops saying that the
     stage is undecided. */
  :: atomic { known[i] && listed[i] && !deciding[i] && write[i] == NONE &&
       ALL_ACKED(i) -> deciding[i] = true; write[i] = ACCEPT;
       expects[i] = stage_version[i]; stage_version[i] = 0; need[i] = 0 }
  :: atomic { deciding[i] && reply[i] == 1 -> tell(i, 1); adopt(i, stage[i]) }
  :: atomic { deciding[i] && reply[i] == 2 -> tell(i, 2) }
  /* BUN-12: no reply. Read back; if the stage still stands, a further
     conditional write ends it, so that the first can't take effect later. */
  :: atomic { deciding[i] && reply[i] == 0 && !gone[i] ->
       if
       :: won & (1 << stage[i]) -> tell(i, 1); adopt(i, stage[i])
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
#ifdef ROLLS_ONLY
    has[0] = true; has[1] = true; has[2] = true;
    run Roller(2);
#else
    run Vm(0); run Vm(1);
#endif
#if VMS > 2 && !defined(ROLLS_ONLY)
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
