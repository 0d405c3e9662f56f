/* One stream at one gateway whose upstream is silent (docs/machines.md, Upstreams that are
 * silent; lib/dispatch/silence.go, lib/exchange/silence.go).
 *
 * The first upstream sends the events of the stream, pauses at any moment, and goes on, or
 * is silent for good. The gateway may find the attempt silent whenever nothing has come,
 * also just before the next event arrives. Another upstream has room for it, or none does.
 * The stream goes on there after the last event that the caller has.
 *
 * The environment variable DROP is the number of a rule to drop; model/run expects an error
 * for each.
 */

#define EVENTS 3

/* What the caller got in the end: the whole stream, or part of it because its connection
 * was closed, or because it left after it had waited for as long as callers do. */
mtype = { nothing, whole, cut, left }

/* The numbers of the rules that can be dropped. */
#define DROP_PLACE 1 /* an attempt is interrupted only if another upstream has room */
#define DROP_ENDED 2 /* the next attempt begins after the interrupted one has ended */
#define DROP_LAST 3  /* it begins after the last event passed on until then */
#define DROP_WAIT 4  /* without room, the attempt goes on */

#define KEPT(rule) (dropped != rule)

int dropped = 0;
bool room = false;      /* whether the other upstream has room */
bool gone = false;      /* whether the first upstream is silent for good */
bool closed = false;    /* whether the connection to the first upstream is closed */
byte passed = 0;        /* number of the last event that the caller has */
bool ordered = true;    /* whether the caller got each event once and in order */
mtype told = nothing;

chan events[2] = [EVENTS] of { byte };

proctype Upstream(byte n; byte after) {
  byte event = after;
  do
  :: event < EVENTS && !(n == 0 && closed) -> event++; events[n]!event
  :: n == 0 && event < EVENTS -> gone = true; break
  :: n == 0 && closed -> break
  :: event == EVENTS -> break
  od
}

inline pass(event) {
  ordered = ordered && event == passed + 1;
  passed = event
}

proctype Gateway() {
  byte event, known;
  byte current = 0;
  run Upstream(0, 0);
  do
  :: passed >= EVENTS -> told = whole; break
  :: passed < EVENTS && events[current]?[event] -> events[current]?event; pass(event)
  /* The attempt is silent, and the request can go on elsewhere. */
  :: passed < EVENTS && current == 0 && empty(events[0]) && (room || !KEPT(DROP_PLACE)) ->
     known = passed;
     /* Events may arrive until the interrupt takes effect. */
     do
     :: events[0]?[event] && passed < EVENTS -> events[0]?event; pass(event)
     :: break
     od;
     if
     :: passed == EVENTS -> told = whole; break
     :: passed < EVENTS && !room -> closed = true; told = cut; break
     :: passed < EVENTS && room ->
        closed = KEPT(DROP_ENDED);
        if
        :: KEPT(DROP_LAST) -> run Upstream(1, passed)
        :: else -> run Upstream(1, known)
        fi;
        if
        :: KEPT(DROP_ENDED) -> skip
        :: else -> events[0]?event; pass(event)
        fi;
        current = 1
     fi
  /* The attempt is silent, and no other upstream has room. */
  :: passed < EVENTS && current == 0 && empty(events[0]) && !room && !KEPT(DROP_WAIT) ->
     closed = true; told = cut; break
  /* The caller leaves; an attempt that would go on does so before. */
  :: passed < EVENTS && current == 0 && empty(events[0]) && gone && !room ->
     closed = true; told = left; break
  od
}

init {
  c_code { char *drop = getenv("DROP"); if (drop) now.dropped = atoi(drop); };
  if
  :: room = true
  :: skip
  fi;
  run Gateway();
  _nr_pr == 1;
  assert(ordered);
  assert(told != nothing && told != cut);
  assert(told != whole || passed == EVENTS);
  assert(told != left || gone)
}
