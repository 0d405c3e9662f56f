/* One request that may run once, at one gateway (docs/machines.md, Requests;
 * lib/dispatch, lib/exchange).
 *
 * The gateway sends it to up to three replicas, one after the other, over
 * connections that were used before. A replica may refuse it, run it and answer,
 * run it and lose the answer, or receive it late; a connection may fail before
 * the request is sent, or hold an answer to an earlier request; a faulty
 * replica sends bytes that look like an answer. The gateway may give up at any
 * time. What the caller is told must be true when everything has ended.
 *
 * The environment variable DROP holds the number of a rule to drop; model/run
 * expects an error for each.
 */

#define REPLICAS 3

/* What the gateway reads from a connection. */
mtype = { refused, success, other, forged, broken }
/* What the caller is told. */
mtype = { nothing, notrun, unknown, answered }

/* The rules that can be dropped. */
#define DROP_LOST 1
#define DROP_MATCH 2
#define DROP_SIGNED 3
#define DROP_TRUTH 4
#define DROP_WORD 5

#define KEPT(rule) (dropped != rule)

int dropped = 0;
byte runs = 0;
bool mine = false; /* an answer to this request reached the gateway */
mtype told = nothing;
bool over = false;

chan request[REPLICAS] = [1] of { bit };
chan reply[REPLICAS] = [2] of { mtype };

proctype Replica(byte r) {
  if
  :: request[r]?1 ->
     if
     :: reply[r]!refused
     :: runs++; reply[r]!success
     :: runs++; reply[r]!broken
     :: reply[r]!broken                  /* not run, and nobody can know */
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
  :: true -> goto giveUp                 /* the deadline, before a send */
  :: r < REPLICAS -> skip
  fi;
  if
  :: r++; goto next                      /* the connection failed before the send */
  :: reply[r]!other; request[r]!1        /* an answer to an earlier request waits */
  :: request[r]!1
  fi;
  if
  :: reply[r]?got
  :: got = broken                        /* silence until the time is over */
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
