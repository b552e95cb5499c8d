/* Model of the incarnations of a worker under one name (docs/design/platform.md, "Lives of a worker").
 *
 * There are one owner, one task and one worker, which may restart once. The owner has sent a start to the
 * first incarnation and got no answer. The order may be executed late, by either incarnation, since it names
 * only the worker. If an incarnation answers a poll with a higher token and has not executed the order, the
 * order is invalidated for it. Then the owner starts the task again on the same worker, or elsewhere as soon
 * as no incarnation can execute the order any more. Only from then on does the owner acknowledge an end of
 * the task, on that worker or as a member of its gang. Checked: the task never runs in two places, and it does
 * not start after an end of it was acknowledged.
 *
 * Broken variants, each of which must violate an assertion:
 *   BROKEN_LAPSE   although the entry of the next incarnation is known, the leases of the first one count as
 *                  expired by the first one's clock alone
 *   BROKEN_FENCE   an answer of the next incarnation to a poll counts although the poll had no higher
 *                  token
 *   BROKEN_CARRY   the pending start is forgotten when the next incarnation answers
 *   BROKEN_VOID    the task starts elsewhere as soon as the order is invalidated for one incarnation
 *   BROKEN_UNSEEN  the task starts elsewhere as soon as no incarnation can execute the order any more,
 *                  although an incarnation that has not answered may run it already
 *   BROKEN_NOTED   an end is acknowledged while the order may still be executed
 * A known gap in the design, which must violate an assertion as well:
 *   OPEN_UNREAD    the next incarnation executes the order before its entry was read, or its entry was read
 *                  too late
 */
#define NONE 9
#define LATE 3   /* time after sending until which an order may be executed */
#define LEASE 2
#define MAXT 8

byte t = 0;
byte life = 0;        /* the running incarnation, or NONE */
byte until = 0;       /* end of the lease of the run on the worker */
bool begun1 = false;  /* the next incarnation has started */
bool read1 = false;   /* its entry was read */
bool inTime = false;  /* its entry was read before the task started elsewhere */
bool cut = false;     /* the owner is not connected to the worker */
bool loose = true;    /* the order may still be executed */
bool fenced[2];       /* the incarnation has seen a higher token */
bool answered[2];     /* the owner assumes that the incarnation has seen a higher token */
bool here = false, elsewhere = false;
bool listed = false;  /* the owner knows that the task runs on the worker */
bool voided = false;   /* an incarnation answered a poll with a higher token and did not run the task */
bool heard = false;    /* an incarnation did so when the order could no longer be executed */
bool again = false;    /* the owner has restarted the task on the worker and has received no end */
bool done = false, noted = false; /* a run of the task has completed, and its end is acknowledged */

inline carryOut() {
	d_step {
		loose = false;
		if
		:: !fenced[life] && !here && !(life == 0 && t > LEASE) ->
			assert(!elsewhere && !noted);
			here = true;
			/* The order's deadline is on the clock of the first incarnation. */
			if :: life == 0 -> until = LEASE :: else -> until = t + LEASE fi
		:: else
		fi
	}
}

active proctype world() {
	do
	:: d_step { t < MAXT ->
			t++;
			if :: here && t > until -> here = false :: else fi;
			if :: t > LATE -> loose = false :: else fi
		}
	:: d_step { life == 0 -> life = NONE; here = false }
	:: d_step { life == NONE && !begun1 -> life = 1; begun1 = true }
	:: d_step { begun1 && !read1 -> read1 = true; inTime = !elsewhere }
	:: d_step { here -> here = false; done = true }
	:: cut = !cut
#ifdef OPEN_UNREAD
	:: atomic { loose && life != NONE -> carryOut() }
#else
	:: atomic { loose && (life == 0 || life == 1 && inTime) -> carryOut() }
#endif
	od
}

/* The running incarnation answers a poll with a higher token. */
inline holdAnswered() {
	d_step {
		answered[life] = true;
		if
#ifdef BROKEN_FENCE
		:: life == 1
#endif
		:: else -> fenced[life] = true
		fi;
		if
		:: here -> listed = true
		:: else ->
			listed = false;
			voided = true;
			again = false;
			if :: t > LATE -> heard = true :: else fi
		fi
	}
}

#ifdef BROKEN_LAPSE
#define LAPSED (t > LEASE)
#else
#define LAPSED (read1 && t > LATE + LEASE || !read1 && t > LEASE)
#endif

#ifdef BROKEN_VOID
#define VOID_OVER true
#else
#ifdef BROKEN_UNSEEN
#define VOID_OVER (t > LATE)
#else
#define VOID_OVER (heard || t > LATE + LEASE)
#endif
#endif

#ifdef BROKEN_NOTED
#define MAY_NOTE true
#else
#define MAY_NOTE (t > LATE)
#endif

active proctype owner() {
	do
	:: atomic { !elsewhere && !cut && life != NONE -> holdAnswered() }
#ifdef BROKEN_CARRY
	:: atomic { !elsewhere && !cut && life == 1 -> voided = true; answered[1] = true }
#endif
	/* The owner starts the task again on the same worker. */
	:: d_step { !elsewhere && !done && voided && !cut && life != NONE && answered[life] && !listed ->
			assert(!here);
			here = true;
			listed = true;
			again = true;
			until = t + LEASE
		}
	:: d_step { done && !noted && MAY_NOTE -> noted = true }
	:: d_step { !elsewhere && !done && !again && (voided && VOID_OVER || LAPSED && !listed) ->
			assert(!here);
			elsewhere = true
		}
	od
}
