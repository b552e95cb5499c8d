package customer

import (
	"testing"
	"time"
)

var testSettings = AccessSettings{MaxConfigAge: 3 * time.Second, RevocationLimit: 5 * time.Second}

func withStrictRevocation(t AccessSettings) AccessSettings {
	t.StrictRevocation = true
	return t
}

// Checks each case of the access rules.
func TestDecide(t *testing.T) {
	const fresh, stale, old = time.Second, 4 * time.Second, 6 * time.Second
	for name, test := range map[string]struct {
		call Call
		want Verdict
	}{
		"known key":                                        {Call{QueueKnown: true, Key: KeyKnown, ConfigAge: fresh}, Admitted},
		"known key, own job":                               {Call{QueueKnown: true, Key: KeyKnown, Job: OwnJob, ConfigAge: fresh}, Admitted},
		"known key, nobody's job":                          {Call{QueueKnown: true, Key: KeyKnown, Job: UnownedJob, ConfigAge: fresh}, Admitted},
		"known key, another customer's job":                {Call{QueueKnown: true, Key: KeyKnown, Job: OtherCustomersJob, ConfigAge: fresh}, Forbidden},
		"known key, another customer's job, stale":         {Call{QueueKnown: true, Key: KeyKnown, Job: OtherCustomersJob, ConfigAge: stale}, Forbidden},
		"known key, stale":                                 {Call{QueueKnown: true, Key: KeyKnown, ConfigAge: stale}, Admitted},
		"known key, config outdated for long":              {Call{QueueKnown: true, Key: KeyKnown, ConfigAge: old}, Admitted},
		"known key, config outdated, strict":               {Call{QueueKnown: true, Key: KeyKnown, ConfigAge: old, AccessSettings: withStrictRevocation(testSettings)}, RetryLater},
		"known key, stale, strict":                         {Call{QueueKnown: true, Key: KeyKnown, ConfigAge: stale, AccessSettings: withStrictRevocation(testSettings)}, Admitted},
		"known key, public queue, config outdated, strict": {Call{QueueKnown: true, QueuePublic: true, Key: KeyKnown, ConfigAge: old, AccessSettings: withStrictRevocation(testSettings)}, RetryLater},
		"unknown key":                                      {Call{QueueKnown: true, Key: KeyUnknown, ConfigAge: fresh}, Unauthenticated},
		"unknown key, stale":                               {Call{QueueKnown: true, Key: KeyUnknown, ConfigAge: stale}, RetryLater},
		"unknown key, public queue":                        {Call{QueueKnown: true, QueuePublic: true, Key: KeyUnknown, ConfigAge: fresh}, Unauthenticated},
		"unknown key, public queue, stale":                 {Call{QueueKnown: true, QueuePublic: true, Key: KeyUnknown, ConfigAge: stale}, RetryLater},
		"no key":                                           {Call{QueueKnown: true, Key: KeyAbsent, ConfigAge: fresh}, Unauthenticated},
		"no key, stale":                                    {Call{QueueKnown: true, Key: KeyAbsent, ConfigAge: stale}, RetryLater},
		"no key, public queue":                             {Call{QueueKnown: true, QueuePublic: true, Key: KeyAbsent, ConfigAge: fresh}, Admitted},
		"no key, public queue, stale":                      {Call{QueueKnown: true, QueuePublic: true, Key: KeyAbsent, ConfigAge: stale}, Admitted},
		"no key, public queue, strict":                     {Call{QueueKnown: true, QueuePublic: true, Key: KeyAbsent, ConfigAge: old, AccessSettings: withStrictRevocation(testSettings)}, Admitted},
		"no key, public queue, a customer's job":           {Call{QueueKnown: true, QueuePublic: true, Key: KeyAbsent, Job: OtherCustomersJob, ConfigAge: fresh}, Forbidden},
		"several keys":                                     {Call{QueueKnown: true, Key: KeyAmbiguous, ConfigAge: fresh}, Unauthenticated},
		"several keys, stale":                              {Call{QueueKnown: true, Key: KeyAmbiguous, ConfigAge: old}, Unauthenticated},
		"several keys, public queue":                       {Call{QueueKnown: true, QueuePublic: true, Key: KeyAmbiguous, ConfigAge: fresh}, Unauthenticated},
		"unknown queue":                                    {Call{Key: KeyKnown, ConfigAge: fresh}, UnknownQueue},
		"unknown queue, no key":                            {Call{Key: KeyAbsent, ConfigAge: fresh}, UnknownQueue},
		"unknown queue, stale":                             {Call{Key: KeyKnown, ConfigAge: stale}, RetryLater},
		"operator without a key":                           {Call{QueueKnown: true, Key: KeyAbsentOperator, ConfigAge: fresh}, Admitted},
		"operator without a key, a customer's job":         {Call{QueueKnown: true, Key: KeyAbsentOperator, Job: UnownedJob, ConfigAge: fresh}, Admitted},
		"operator submits without a key":                   {Call{QueueKnown: true, Key: KeyAbsentOperator, Submits: true, ConfigAge: fresh}, Unauthenticated},
		"operator submits without a key, stale":            {Call{QueueKnown: true, Key: KeyAbsentOperator, Submits: true, ConfigAge: stale}, RetryLater},
		"operator submits, public queue":                   {Call{QueueKnown: true, QueuePublic: true, Key: KeyAbsentOperator, Submits: true, ConfigAge: fresh}, Admitted},
		"operator submits with a customer's key":           {Call{QueueKnown: true, Key: KeyKnown, Submits: true, ConfigAge: fresh}, Admitted},
		"no customers, submits":                            {Call{QueueKnown: true, Key: KeyNotNeeded, Submits: true, ConfigAge: fresh}, Admitted},
		"no customers":                                     {Call{QueueKnown: true, Key: KeyNotNeeded, ConfigAge: fresh}, Admitted},
		"no customers, config outdated, strict":            {Call{QueueKnown: true, Key: KeyNotNeeded, ConfigAge: old, AccessSettings: withStrictRevocation(testSettings)}, Admitted},
		"no customers, unknown queue":                      {Call{Key: KeyNotNeeded, ConfigAge: fresh}, UnknownQueue},
		"unknown key at the very end of the bound":         {Call{QueueKnown: true, Key: KeyUnknown, ConfigAge: testSettings.MaxConfigAge}, Unauthenticated},
		"unknown key, unknown queue, config outdated":      {Call{Key: KeyUnknown, ConfigAge: old}, RetryLater},
		"known key at the very end of the strict time":     {Call{QueueKnown: true, Key: KeyKnown, ConfigAge: testSettings.RevocationLimit, AccessSettings: withStrictRevocation(testSettings)}, Admitted},
	} {
		t.Run(name, func(t *testing.T) {
			if test.call.AccessSettings == (AccessSettings{}) {
				test.call.AccessSettings = testSettings
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

func TestDecideAccess(t *testing.T) {
	call := Call{QueueKnown: true, Key: KeyKnown, AccessSettings: testSettings}
	north := NewCaller(&Customer{Name: "north"}, call, false)
	nobody := NewCaller(nil, Call{QueueKnown: true, QueuePublic: true, AccessSettings: testSettings}, false)
	operator := NewCaller(nil, Call{QueueKnown: true, Key: KeyNotNeeded, AccessSettings: testSettings}, true)
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
		if got := test.caller.DecideAccess(test.owner); got.Verdict != test.want {
			t.Errorf("%s: got %+v, want verdict %d", name, got, test.want)
		}
	}
}
