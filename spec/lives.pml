/* Lives of a worker under one name (docs/design/platform.md, "Lives of a worker").
 *
 * One owner, one task and one worker that may start again once. The owner has sent a start to the first life and got no answer; the order may be
 * carried out late, by whichever life is there, since it names the worker only. An order that a life has not begun when it answers a higher token is
 * void there: the owner starts the task again on the same worker, and elsewhere when the order can't be carried out by anyone any more. It notes an end
 * of the task, as done on that worker or with its gang, no earlier.
 * Shown: the task never runs in two places, and does not begin after an end of it was noted.
 *
 * Broken variants, each of which has to be found out:
 *   BROKEN_LAPSE   the next life's entry is known, and the former one's leases count as lapsed by its own clock alone
 *   BROKEN_FENCE   a hold of the next life's counts without a higher token
 *   BROKEN_CARRY   the start is forgotten when the next life answers
 *   BROKEN_VOID    the task starts elsewhere as soon as the order is void on the first life
 *   BROKEN_UNSEEN  it does so when no life can carry the order out any more, though one that was not heard of may have
 *   BROKEN_NOTED   an end is noted while the order may be carried out
 * What is not closed, and found out as well:
 *   OPEN_UNREAD    the next life carries an order out before its entry was read, or that was read too late
 */
#define NONE 9
#define LATE 3   /* how long after it was sent an order may be carried out */
#define LEASE 2
#define MAXT 8

byte t = 0;
byte life = 0;        /* that is there, or NONE */
byte until = 0;       /* the end of the lease there */
bool begun1 = false;  /* the next life has begun */
bool read1 = false;   /* its entry was read */
bool inTime = false;  /* and that before the task was started elsewhere */
bool cut = false;     /* the owner does not reach the worker */
bool loose = true;    /* the order may be carried out yet */
bool fenced[2];       /* a life has seen a higher token */
bool answered[2];     /* and the owner holds it for so */
bool here = false, elsewhere = false;
bool listed = false;  /* the owner knows that the task runs here */
bool voided = false;   /* a life has answered a higher token without the task */
bool heard = false;    /* and one has when the order could not be carried out any more */
bool again = false;    /* the owner has started the task there once more and has not heard of an end */
bool done = false, noted = false; /* a run of the task has ended as done, and that is noted */

inline carryOut() {
	d_step {
		loose = false;
		if
		:: !fenced[life] && !here && !(life == 0 && t > LEASE) ->
			assert(!elsewhere && !noted);
			here = true;
			/* The deadline is by the clock of the first life. */
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

/* A hold with a higher token is answered by the life that is there. */
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
	/* The task starts again on the same worker. */
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
