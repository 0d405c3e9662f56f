/* One stream at one gateway whose upstream is silent (docs/machines.md, Upstreams that are
 * silent; lib/dispatch/hedge.go, gateway/hedge.go).
 *
 * The first upstream sends the events of the stream, pauses at any moment, and goes on, or
 * is silent for good, or is lost. The gateway may find the attempt silent whenever nothing
 * has come, also just before the next event arrives. It then asks another upstream with a
 * hedge, which serves the stream after the last event that the caller has, or refuses it.
 * Nobody knows before which of them.
 *
 * The environment variable DROP is the number of a rule to drop; model/run expects an error
 * for each.
 */

#define EVENTS 3

/* What the caller got in the end: the whole stream, or part of it because its connection
 * was closed, or because it left after it had waited for as long as callers do. */
mtype = { nothing, whole, cut, left }

/* The numbers of the rules that can be dropped. */
/* the silent attempt goes on beside its hedge */
#define DROP_STAY 1
/* the first of the two that makes progress ends the other one */
#define DROP_FIRST 2
/* the hedge begins after the last event that was passed on */
#define DROP_LAST 3
/* a refusal ends the hedge alone */
#define DROP_REFUSED 4
/* a hedge takes the place of an attempt that was lost */
#define DROP_PROMOTE 5

#define KEPT(rule) (dropped != rule)

int dropped = 0;
bool serves = false;    /* whether the other upstream serves the hedge */
bool refused = false;   /* whether it has refused it */
bool gone = false;      /* whether the first upstream is silent for good */
bool lost = false;      /* whether the first upstream is lost */
bool overtaken = false; /* whether the hedge ended because the silent attempt went on */
bool asked = false;     /* whether there was a hedge */
bool closed[2];         /* whether the connections to the upstreams are closed */
byte passed = 0;        /* number of the last event that the caller has */
bool ordered = true;    /* whether the caller got each event once and in order */
mtype told = nothing;

chan events[2] = [EVENTS] of { byte };

proctype Upstream(byte n; byte after) {
  byte event = after;
  do
  :: n == 1 && !serves -> refused = true; break
  :: (n == 0 || serves) && event < EVENTS && !closed[n] -> event++; events[n]!event
  :: n == 0 && event < EVENTS -> gone = true; break
  :: n == 0 && event < EVENTS -> lost = true; break
  :: closed[n] -> break
  :: event == EVENTS -> break
  od
}

inline pass(event) {
  ordered = ordered && event == passed + 1;
  passed = event
}

proctype Gateway() {
  byte event;
  byte current = 0;
  bool hedged = false;  /* whether the hedge runs beside the current attempt */
  run Upstream(0, 0);
  do
  :: passed >= EVENTS -> told = whole; break
  /* The current attempt makes progress. */
  :: passed < EVENTS && events[current]?[event] ->
     events[current]?event;
     if
     :: hedged && KEPT(DROP_FIRST) -> hedged = false; overtaken = true; closed[1] = true
     :: else -> skip
     fi;
     pass(event)
  /* The hedge makes progress first. */
  :: passed < EVENTS && hedged && events[1]?[event] ->
     events[1]?event;
     closed[0] = KEPT(DROP_FIRST);
     current = 1; hedged = false;
     pass(event)
  :: passed < EVENTS && !KEPT(DROP_FIRST) && events[1 - current]?[event] ->
     events[1 - current]?event; pass(event)
  /* The attempt is silent. */
  :: passed < EVENTS && current == 0 && !asked && empty(events[0]) && !lost ->
     asked = true; hedged = true;
     if
     :: KEPT(DROP_LAST) -> run Upstream(1, passed)
     :: else -> run Upstream(1, 0)
     fi;
     if
     :: KEPT(DROP_STAY) -> skip
     :: else -> closed[0] = true; current = 1; hedged = false
     fi
  :: passed < EVENTS && refused && (hedged || current == 1) ->
     hedged = false;
     if
     :: KEPT(DROP_REFUSED) && current == 0 -> skip
     :: else -> told = cut; break
     fi
  /* The current attempt is lost. */
  :: passed < EVENTS && current == 0 && lost && empty(events[0]) ->
     if
     :: hedged && KEPT(DROP_PROMOTE) -> current = 1; hedged = false
     :: else -> told = cut; break
     fi
  /* The caller leaves; an attempt that would go on does so before. */
  :: passed < EVENTS && current == 0 && empty(events[0]) && gone && asked && !hedged ->
     told = left; break
  od
}

init {
  c_code { char *drop = getenv("DROP"); if (drop) now.dropped = atoi(drop); };
  if
  :: serves = true
  :: skip
  fi;
  run Gateway();
  _nr_pr == 1;
  assert(ordered);
  assert(told != nothing);
  /* A stream is cut only if its upstream is lost, and there is no hedge, or none any more.
   * What becomes of it without one is the matter of attempt.pml. */
  assert(told != cut || lost && (!asked || refused || overtaken));
  assert(told != whole || passed == EVENTS);
  assert(told != left || gone)
}
