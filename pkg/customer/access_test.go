package customer

import (
	"testing"
	"time"
)

var testTerms = Terms{Apply: 3 * time.Second, Revoke: 5 * time.Second}

func strict(t Terms) Terms {
	t.Strict = true
	return t
}

// Checks each case of the access rules.
func TestDecide(t *testing.T) {
	const fresh, stale, old = time.Second, 4 * time.Second, 6 * time.Second
	for name, test := range map[string]struct {
		call Call
		want Verdict
	}{
		"known key":                                        {Call{QueueKnown: true, Key: KeyKnown, Age: fresh}, Admitted},
		"known key, own job":                               {Call{QueueKnown: true, Key: KeyKnown, Job: Own, Age: fresh}, Admitted},
		"known key, nobody's job":                          {Call{QueueKnown: true, Key: KeyKnown, Job: Unclaimed, Age: fresh}, Admitted},
		"known key, another customer's job":                {Call{QueueKnown: true, Key: KeyKnown, Job: Others, Age: fresh}, Forbidden},
		"known key, another customer's job, stale":         {Call{QueueKnown: true, Key: KeyKnown, Job: Others, Age: stale}, Forbidden},
		"known key, stale":                                 {Call{QueueKnown: true, Key: KeyKnown, Age: stale}, Admitted},
		"known key, config outdated for long":              {Call{QueueKnown: true, Key: KeyKnown, Age: old}, Admitted},
		"known key, config outdated, strict":               {Call{QueueKnown: true, Key: KeyKnown, Age: old, Terms: strict(testTerms)}, Later},
		"known key, stale, strict":                         {Call{QueueKnown: true, Key: KeyKnown, Age: stale, Terms: strict(testTerms)}, Admitted},
		"known key, public queue, config outdated, strict": {Call{QueueKnown: true, QueuePublic: true, Key: KeyKnown, Age: old, Terms: strict(testTerms)}, Later},
		"unknown key":                                      {Call{QueueKnown: true, Key: KeyUnknown, Age: fresh}, Unauthenticated},
		"unknown key, stale":                               {Call{QueueKnown: true, Key: KeyUnknown, Age: stale}, Later},
		"unknown key, public queue":                        {Call{QueueKnown: true, QueuePublic: true, Key: KeyUnknown, Age: fresh}, Unauthenticated},
		"unknown key, public queue, stale":                 {Call{QueueKnown: true, QueuePublic: true, Key: KeyUnknown, Age: stale}, Later},
		"no key":                                           {Call{QueueKnown: true, Key: KeyAbsent, Age: fresh}, Unauthenticated},
		"no key, stale":                                    {Call{QueueKnown: true, Key: KeyAbsent, Age: stale}, Later},
		"no key, public queue":                             {Call{QueueKnown: true, QueuePublic: true, Key: KeyAbsent, Age: fresh}, Admitted},
		"no key, public queue, stale":                      {Call{QueueKnown: true, QueuePublic: true, Key: KeyAbsent, Age: stale}, Admitted},
		"no key, public queue, strict":                     {Call{QueueKnown: true, QueuePublic: true, Key: KeyAbsent, Age: old, Terms: strict(testTerms)}, Admitted},
		"no key, public queue, a customer's job":           {Call{QueueKnown: true, QueuePublic: true, Key: KeyAbsent, Job: Others, Age: fresh}, Forbidden},
		"several keys":                                     {Call{QueueKnown: true, Key: KeyUnclear, Age: fresh}, Unauthenticated},
		"several keys, stale":                              {Call{QueueKnown: true, Key: KeyUnclear, Age: old}, Unauthenticated},
		"several keys, public queue":                       {Call{QueueKnown: true, QueuePublic: true, Key: KeyUnclear, Age: fresh}, Unauthenticated},
		"unknown queue":                                    {Call{Key: KeyKnown, Age: fresh}, UnknownQueue},
		"unknown queue, no key":                            {Call{Key: KeyAbsent, Age: fresh}, UnknownQueue},
		"unknown queue, stale":                             {Call{Key: KeyKnown, Age: stale}, Later},
		"operator without a key":                           {Call{QueueKnown: true, Key: KeyOfOperator, Age: fresh}, Admitted},
		"operator without a key, a customer's job":         {Call{QueueKnown: true, Key: KeyOfOperator, Job: Unclaimed, Age: fresh}, Admitted},
		"operator submits without a key":                   {Call{QueueKnown: true, Key: KeyOfOperator, HandsIn: true, Age: fresh}, Unauthenticated},
		"operator submits without a key, stale":            {Call{QueueKnown: true, Key: KeyOfOperator, HandsIn: true, Age: stale}, Later},
		"operator submits, public queue":                   {Call{QueueKnown: true, QueuePublic: true, Key: KeyOfOperator, HandsIn: true, Age: fresh}, Admitted},
		"operator submits with a customer's key":           {Call{QueueKnown: true, Key: KeyKnown, HandsIn: true, Age: fresh}, Admitted},
		"no customers, submits":                            {Call{QueueKnown: true, Key: KeyNotNeeded, HandsIn: true, Age: fresh}, Admitted},
		"no customers":                                     {Call{QueueKnown: true, Key: KeyNotNeeded, Age: fresh}, Admitted},
		"no customers, config outdated, strict":            {Call{QueueKnown: true, Key: KeyNotNeeded, Age: old, Terms: strict(testTerms)}, Admitted},
		"no customers, unknown queue":                      {Call{Key: KeyNotNeeded, Age: fresh}, UnknownQueue},
		"known key at the very end of the bound":           {Call{QueueKnown: true, Key: KeyUnknown, Age: testTerms.Apply}, Unauthenticated},
		"unknown key, unknown queue, config outdated":      {Call{Key: KeyUnknown, Age: old}, Later},
		"known key at the very end of the strict time":     {Call{QueueKnown: true, Key: KeyKnown, Age: testTerms.Revoke, Terms: strict(testTerms)}, Admitted},
	} {
		t.Run(name, func(t *testing.T) {
			if test.call.Terms == (Terms{}) {
				test.call.Terms = testTerms
			}
			got := Decide(test.call)
			if got.Verdict != test.want {
				t.Errorf("got verdict %d (%s), want %d", got.Verdict, got.Reason, test.want)
			}
			if (got.Reason == "") != (got.Verdict == Admitted) {
				t.Errorf("got reason %q for verdict %d", got.Reason, got.Verdict)
			}
		})
	}
}

func TestCallersJobs(t *testing.T) {
	call := Call{QueueKnown: true, Key: KeyKnown, Terms: testTerms}
	north := NewCaller(&Customer{Name: "north"}, call, false)
	nobody := NewCaller(nil, Call{QueueKnown: true, QueuePublic: true, Terms: testTerms}, false)
	operator := NewCaller(nil, Call{QueueKnown: true, Key: KeyNotNeeded, Terms: testTerms}, true)
	for name, test := range map[string]struct {
		caller Caller
		owner  string
		want   Verdict
	}{
		"own":                    {north, "north", Admitted},
		"another's":              {north, "south", Forbidden},
		"nobody's":               {north, "", Admitted},
		"another's, without key": {nobody, "south", Forbidden},
		"nobody's, without key":  {nobody, "", Admitted},
		"anybody's, an operator": {operator, "south", Admitted},
		"nobody's, an operator":  {operator, "", Admitted},
	} {
		if got := test.caller.About(test.owner); got.Verdict != test.want {
			t.Errorf("%s: got %+v, want verdict %d", name, got, test.want)
		}
	}
}
