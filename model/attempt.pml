/* One request at one gateway that may run at most once (docs/machines.md, Requests;
 * lib/dispatch, lib/exchange).
 *
 * The gateway sends the request to up to three replicas, one after the other, over
 * reused connections. A replica may refuse it, run it and answer, run it and lose
 * the answer, or receive it late. A connection may fail before the request is
 * sent, or it may hold an answer to an earlier request. A faulty replica sends
 * data that looks like an answer. The gateway may give up at any time. The result
 * that the caller gets must be true when all processes have ended.
 *
 * The environment variable DROP is the number of a rule to drop; model/run expects
 * an error for each.
 */

#define REPLICAS 3

/* What the gateway reads from a connection: a refusal, an answer, an answer to an
 * earlier request, a forged answer, or nothing because the connection broke. */
mtype = { refused, success, other, forged, broken }
/* The result that the caller gets; nothing until there is one. */
mtype = { nothing, notrun, unknown, answered }

/* The numbers of the rules that can be dropped. */
#define DROP_LOST 1
#define DROP_MATCH 2
#define DROP_SIGNED 3
#define DROP_TRUTH 4
#define DROP_WORD 5

#define KEPT(rule) (dropped != rule)

int dropped = 0;
byte runs = 0;     /* number of runs of the request */
bool mine = false; /* whether the gateway received an answer to this request */
mtype told = nothing;
bool over = false; /* whether the gateway has finished */

/* One connection to each replica. */
chan request[REPLICAS] = [1] of { bit };
chan reply[REPLICAS] = [2] of { mtype };

proctype Replica(byte r) {
  if
  :: request[r]?1 ->
     if
     :: reply[r]!refused
     :: runs++; reply[r]!success
     :: runs++; reply[r]!broken
     :: reply[r]!broken                  /* not run, but the gateway cannot know that */
     :: runs++; reply[r]!forged
     :: reply[r]!forged
     fi
  :: over && empty(request[r]) -> skip
  fi
}

proctype Gateway() {
  byte r = 0;
  bool mayHaveRun = false;
  mtype got;
next:
  if
  :: r == REPLICAS -> goto giveUp
  :: true -> goto giveUp                 /* the deadline passed before a send */
  :: r < REPLICAS -> skip
  fi;
  if
  :: r++; goto next                      /* the connection failed before the send */
  :: reply[r]!other; request[r]!1        /* the connection holds an earlier answer */
  :: request[r]!1
  fi;
  if
  :: reply[r]?got
  :: got = broken                        /* no answer before the deadline */
  fi;
  if
  :: got == refused -> r++; goto next
  :: got == success -> mine = true; told = answered; goto done
  :: got == other && !KEPT(DROP_MATCH) -> told = answered; goto done
  :: got == forged && !KEPT(DROP_SIGNED) -> told = answered; goto done
  :: got == broken && !KEPT(DROP_WORD) -> r++; goto next
  :: else -> mayHaveRun = true
  fi;
  if
  :: !KEPT(DROP_LOST) -> r++; goto next
  :: else -> skip
  fi;
giveUp:
  if
  :: mayHaveRun && KEPT(DROP_TRUTH) -> told = unknown
  :: else -> told = notrun
  fi;
done:
  over = true
}

init {
  c_code { char *drop = getenv("DROP"); if (drop) now.dropped = atoi(drop); };
  atomic { run Gateway(); run Replica(0); run Replica(1); run Replica(2) };
  _nr_pr == 1;
  assert(runs <= 1);
  assert(told != notrun || runs == 0);
  assert(told != answered || mine)
}
