/* Orders to one engine on the users' platform: leases, takeover, fences.
 *
 * Two VMs and one store. A VM may order the engine while it owns it and its lease
 * holds; the lease counts from the sending of the renewal. A successor claims by
 * conditional update once it has seen the owner's lease unchanged for a lease and a
 * margin, or restarted. A VM that does nothing while time goes on is suspended; its
 * counters run all the same, as the clock that it reads counts suspensions.
 *
 * Another writer may make the owner object unreadable. A fence is one more than the
 * revision at which its claim met the object, which only rises; who owned the engine is
 * then found out by having the other VM yield it, or by its lease.
 *
 * The property: no order bears a lower fence than one before it, and no two VMs order
 * under one fence.
 */
#define VMS 2
#ifndef LEASE
#define LEASE 3
#endif
/* The clocks of this model don't differ, so that the wait needs no margin. */
#define MARGIN 0
#ifndef RENEWALS
#define RENEWALS 3
#endif
#ifndef CLAIMS
#define CLAIMS 2
#endif
/* How often another writer scrambles the owner object, or removes it. */
#ifndef SCRAMBLES
#define SCRAMBLES 0
#endif
#define NOBODY 9

/* The store. */
byte revision[VMS];      /* of each VM's lease object */
byte incarnation[VMS];   /* as the lease object has it */
byte owner = NOBODY;
byte owner_incarnation;
byte owner_fence;
byte owner_revision;
bool unreadable;

/* The engine, as the judge sees it. */
byte top_fence;
byte top_vm = NOBODY;

/* Each VM. */
byte process[VMS];       /* which process of the VM runs */
byte lease[VMS];         /* ticks left */
bool asked[VMS];         /* a renewal was sent */
bool landed[VMS];        /* and took effect in the store */
byte asked_left[VMS];    /* what it would still give */
bool asked_held[VMS];    /* whether the lease held as it was sent */
bool owns[VMS];
byte fence[VMS];
byte seen[VMS];          /* revision of the other's lease, as first seen */
byte unchanged[VMS];     /* ticks until it counts as run out */
bool watching[VMS];
byte read_revision[VMS]; /* of the owner object, read before a claim */
bool reading[VMS];
bool free[VMS];          /* whether what was read lets the engine be claimed */
byte looked_at[VMS];     /* revision of the other's lease, as read before a claim */
bool freeze_checked[VMS];
byte renewals;
byte claims;
byte restarts;
byte scrambles;

#define RUN_OUT(v) (watching[v] && seen[v] == looked_at[v] && unchanged[v] == 0)
#define OTHER(v) (1 - v)

inline lose(v) {
    owns[v] = false;
}

inline forget(v) {
    asked[v] = false; landed[v] = false; asked_left[v] = 0; asked_held[v] = false
}

inline answer(v) {
    /* The renewal's answer has come. */
#ifdef LATE_ANSWER
    if
    :: !asked_held[v] -> lose(v)
    :: else -> skip
    fi;
#else
    if
    :: lease[v] == 0 -> lose(v)
    :: else -> skip
    fi;
#endif
#ifdef FROM_ANSWER
    lease[v] = LEASE;
#else
    lease[v] = asked_left[v];
#endif
    forget(v)
}

proctype Vm(byte v) {
    do
    /* Renewing: sent, taken by the store, answered; each may come late or never. */
    :: atomic { !asked[v] && renewals < RENEWALS ->
        renewals++; asked[v] = true; landed[v] = false;
        asked_left[v] = LEASE; asked_held[v] = (lease[v] > 0) }
    :: atomic { asked[v] && !landed[v] ->
        landed[v] = true; revision[v]++; incarnation[v] = process[v] }
    :: d_step { asked[v] && landed[v] -> answer(v) }
    :: d_step { asked[v] -> forget(v) }

    /* Watching the other's lease. */
    :: atomic { !watching[v] || seen[v] != revision[OTHER(v)] ->
        watching[v] = true; seen[v] = revision[OTHER(v)];
        unchanged[v] = LEASE + MARGIN }

    /* Reading the owner object and the other's lease, and then claiming at that
       revision. Between the two the VM may be suspended. */
    :: atomic { !reading[v] && !owns[v] && lease[v] > 0 && claims < CLAIMS ->
        claims++; reading[v] = true; read_revision[v] = owner_revision;
        looked_at[v] = revision[OTHER(v)];
#ifdef FENCE_FROM_OBJECT
        fence[v] = owner_fence + 1;
#else
        fence[v] = owner_revision + 1;
#endif
        if
        :: unreadable ->
#ifdef UNREADABLE_IS_FREE
            free[v] = true
#else
            free[v] = RUN_OUT(v)
#endif
        :: else ->
            free[v] = (owner == NOBODY || owner == v
#ifdef NO_WAIT
                || true
#endif
                || owner_incarnation != incarnation[OTHER(v)]
                || RUN_OUT(v))
        fi }
#ifdef JUDGED_LATE
    /* The age of the lease that was read is taken from the clock at the answer. */
    :: atomic { reading[v] && !free[v] && !unreadable && RUN_OUT(v) ->
        free[v] = true }
#endif
    /* Asked over the mesh, the other VM yields. */
    :: atomic { reading[v] && !free[v] && unreadable &&
        read_revision[v] == owner_revision ->
        free[v] = true; lose(OTHER(v)) }
    :: d_step { reading[v] ->
        reading[v] = false;
        if
#ifdef NO_CONDITION
        :: free[v] && lease[v] > 0 ->
#else
        :: free[v] && lease[v] > 0 && read_revision[v] == owner_revision ->
#endif
            owner = v; owner_incarnation = process[v]; owner_fence = fence[v];
            owner_revision++; owns[v] = true; unreadable = false
        :: else -> fence[v] = 0
        fi;
        free[v] = false; looked_at[v] = 0; read_revision[v] = 0 }

    /* Releasing, as the VM leaves or the engine is gone. */
    :: d_step { owns[v] ->
        owns[v] = false;
        if
        :: owner == v && owner_fence == fence[v] && !unreadable ->
#ifdef OBJECT_REMOVED
            owner_fence = 0;
#endif
            owner = NOBODY; owner_revision++
        :: else -> skip
        fi }

    /* Ordering: the look at the lease and the sending are one step. */
#ifdef FREEZE
    :: atomic { owns[v] && lease[v] > 0 && !freeze_checked[v] ->
        freeze_checked[v] = true }
    :: d_step { freeze_checked[v] -> freeze_checked[v] = false;
#else
#ifdef NO_LEASE_CHECK
    :: d_step { owns[v] ->
#else
    :: d_step { owns[v] && lease[v] > 0 ->
#endif
#endif
        assert(fence[v] >= top_fence);
        assert(fence[v] > top_fence || top_vm == NOBODY || top_vm == v);
        top_fence = fence[v]; top_vm = v }

    /* The process is killed and starts again. */
    :: d_step { restarts < 1 ->
        restarts++; process[v]++; lease[v] = 0; forget(v);
        owns[v] = false; fence[v] = 0; reading[v] = false; read_revision[v] = 0;
        free[v] = false; looked_at[v] = 0;
        watching[v] = false; seen[v] = 0; unchanged[v] = 0;
        freeze_checked[v] = false }
    od
}

proctype OtherWriter() {
    do
    :: d_step { scrambles < SCRAMBLES ->
        scrambles++; unreadable = true; owner = NOBODY; owner_incarnation = 0;
        owner_fence = 0; owner_revision++ }
    od
}

proctype Clock() {
    byte v;
    do
    :: d_step {
        v = 0;
        do
        :: v < VMS ->
            if :: lease[v] > 0 -> lease[v]-- :: else -> skip fi;
            if :: asked_left[v] > 0 -> asked_left[v]-- :: else -> skip fi;
            if :: unchanged[v] > 0 -> unchanged[v]-- :: else -> skip fi;
            v++
        :: else -> break
        od;
        v = 0 }
    od
}

init {
    atomic { run Vm(0); run Vm(1); run Clock(); run OtherWriter() }
}
