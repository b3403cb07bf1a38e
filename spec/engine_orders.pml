/* Orders to one engine that starts again under its id, on the users' platform.
 *
 * An owner loads and evicts adapters, each order naming how many were accepted before.
 * An order may get no answer and be carried out later, also by the engine's next start,
 * whose count began anew. The owner learns of a restart at some time and then keeps one
 * slot free for as long as an order to the former start may come.
 *
 * The property: the engine is never ordered to hold more adapters than it has slots.
 */
#ifndef SLOTS
#define SLOTS 2
#endif
#ifndef LATE
#define LATE 1
#endif
#ifndef ORDERS
#define ORDERS 8
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifdef NO_SPARE
#define SPARE 0
#else
#define SPARE 1
#endif

#if LATE > 1
#define ANY_LATE (late[0] || late[1])
#else
#define ANY_LATE (late[0])
#endif

/* The engine. */
byte start;
byte count;
byte held;

/* Orders without an answer that may still come. */
bool late[LATE];
byte late_count[LATE];
bool late_load[LATE];

/* Its owner. */
bool known;          /* whether its beliefs are those of a report of this start */
byte believed_start;
byte believed_count;
byte believed_held;
bool guarded;        /* whether an order to the former start may come */
bool unanswered;     /* whether any order had no answer */
byte orders;

inline carry_out(named, load) {
    if
#ifdef NO_COUNT
    :: true ->
#else
    :: named == count ->
#endif
        count++;
        if
        :: load -> held++; assert(held <= SLOTS)
        :: !load && held > 0 -> held--
        :: else -> skip
        fi
    :: else -> skip
    fi
}

inline keep(load) {
    /* The order gets no answer, now or ever; it is carried out later, or not at all. */
    i = 0;
    do
    :: i < LATE && late[i] -> i++
    :: i < LATE && !late[i] ->
        late[i] = true; late_count[i] = believed_count; late_load[i] = load; break
    :: i >= LATE -> break
    od;
    unanswered = true; i = 0
}

proctype Owner() {
    byte i;
    /* A state in which nothing is left to do is no fault. */
end:
    do
    /* A report is read: the restart is seen, and what is held. */
    :: d_step { !known ->
        if
        :: believed_start != start -> guarded = unanswered
        :: else -> skip
        fi;
        believed_start = start; believed_count = count; believed_held = held;
        known = true }
    /* The engine's entry tells of the restart sooner. */
    :: d_step { known && believed_start != start -> known = false }

    /* A load, where a slot is free beside the one that is spared. */
    :: atomic { known && orders < ORDERS &&
        (believed_held + (guarded -> SPARE : 0)) < SLOTS ->
        orders++;
        if
        :: d_step { (believed_count == count) ->
            carry_out(believed_count, true); believed_count++; believed_held++ }
        :: d_step { (believed_count != count) -> known = false }
        :: d_step { keep(true) }
        fi }
    /* An eviction. */
    :: atomic { known && orders < ORDERS && believed_held > 0 ->
        orders++;
        if
        :: d_step { (believed_count == count) ->
            carry_out(believed_count, false); believed_count++; believed_held-- }
        :: d_step { (believed_count != count) -> known = false }
        :: d_step { keep(false) }
        fi }
    /* Beside what an order shows, the count is looked at while one may come. */
    :: d_step { known && guarded && believed_count != count -> known = false }
    od
}

proctype World() {
    byte i;
end:
    do
    :: d_step { start < RESTARTS -> start++; count = 0; held = 0 }
    :: d_step { late[0] -> late[0] = false; carry_out(late_count[0], late_load[0]);
        late_count[0] = 0; late_load[0] = false }
#if LATE > 1
    :: d_step { late[1] -> late[1] = false; carry_out(late_count[1], late_load[1]);
        late_count[1] = 0; late_load[1] = false }
#endif
    /* The time after which an order is carried out no more has passed. */
    :: d_step { ANY_LATE ->
        i = 0;
        do
        :: i < LATE -> late[i] = false; late_count[i] = 0; late_load[i] = false; i++
        :: else -> break
        od;
        guarded = false; unanswered = false; i = 0 }
    od
}

init {
    known = true;
    atomic { run Owner(); run World() }
}
