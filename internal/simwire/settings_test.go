package simwire_test

import (
	"errors"
	"reflect"
	"testing"

	"mothrouter/internal/decision"
	"mothrouter/internal/estimate/retrybudget"
	"mothrouter/internal/estimate/slowstart"
	"mothrouter/internal/simwire"
)

func TestParseSettingsReadsEachKey(t *testing.T) {
	got, err := simwire.ParseSettings(`{"callers":{"marksRetry":false},"caps":{"cancel":true,"maxRetryAfterS":0.5,
		"openCap":299,"probes":true,"retryAfter":true,"secondCopies":true,"sendCap":3},
		"classes":[{"aimStretch":2,"deadlineS":5,"lateWorth":0.1,"objectiveS":1.5,"semantics":"guarded","windowS":4,
		"worth":2},{"deadlineS":2,"objectiveS":1,"semantics":"single_shot","stream":true,"worth":1}],
		"costs":{"crossZone":0.04,"lateFail":0.05,"probe":0.01,"waste":0.08},"discovery":"ask",
		"familyInfo":{"bundleMax":8,"cells":4,"classFloor":[0.5],"fetchParts":[0,3],"needByClass":[1,0.8],
		"partialEarns":[0.8,0.9],"perCallWorkS":0.04,"reach":2},"countedBy":"work","index":1,"overShareWorth":0.1,"peersTotal":2,
		"report":{"columns":["q"],"how":"pull"},"rules":{"askWithinS":10,"coldShare":0.28,"drainGraceS":0.5,
		"fallMultiple":3,"fallS":1,"warmUpS":17,"budgetFree":10,"extraRatio":0.1,"budgetSpanS":5},
		"tenants":[{"name":"a","quotaRps":7.5,"fraction":0.5}],"tickS":0.005,"zone":2,"unheardOf":1}`)
	if err != nil {
		t.Fatal(err)
	}
	want := decision.Settings{
		Classes: []decision.Class{
			{LatencyObjective: 1.5, ObjectivePerWork: 2, Deadline: 5, PriorityWeight: 2, LateValue: 0.1, Idempotency: decision.IdempotentWithKey,
				IdempotencyWindow: 4, CompletenessThreshold: 1, MinCompleteness: 0.5},
			{LatencyObjective: 1, Deadline: 2, PriorityWeight: 1, Idempotency: decision.NonIdempotent, CompletenessThreshold: 0.8, MinCompleteness: 1,
				SecondPhaseFanout: 3},
		},
		Brokers: 2, Zone: 2,
		ReplicaSets: 4, ReplicationFactor: 2, MaxPartsPerCall: 8, ReportMode: decision.ReportPull, PollEndpoints: true,
		PollInterval: 10, Tick: 0.005, MaxAttempts: 3, CancelAllowed: true, HealthChecksAllowed: true, HedgingAllowed: true,
		RetryAfterSupported: true, MaxRetryAfter: 0.5, SlowStart: slowstart.Settings{InitialFraction: 0.28, Duration: 17, OverloadFactor: 3, OverloadWindow: 1},
		RetryBudget:   retrybudget.Settings{Enabled: true, Min: 10, Ratio: 0.1, Window: 5},
		CrossZoneCost: 0.04, WeightByWork: true,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
	if settings, err := simwire.ParseSettings(`{"classes":[{}]}`); err != nil || settings.RetryBudget.Enabled || settings.Classes[0].MinCompleteness != 1 {
		t.Errorf("absent keys: %+v, %v; want no retry budget and a minimum completeness of 1", settings, err)
	}
}

func TestParseSettingsErrorsNameTheKey(t *testing.T) {
	for _, test := range []struct {
		text string
		want simwire.SettingError
	}{
		{`{"report":{"how":"odd"}}`, simwire.SettingError{Key: "report.how", Value: "odd", Allowed: "one of piggyback, pull, silent"}},
		{`{"discovery":"odd"}`, simwire.SettingError{Key: "discovery", Value: "odd", Allowed: "one of ask, push"}},
		{`{"classes":[{},{"semantics":"odd"}]}`,
			simwire.SettingError{Key: "classes[1].semantics", Value: "odd", Allowed: "one of free, guarded, single_shot"}},
	} {
		_, err := simwire.ParseSettings(test.text)
		var got *simwire.SettingError
		if !errors.As(err, &got) || *got != test.want {
			t.Errorf("%s: got %v, want %v", test.text, err, &test.want)
		}
	}
}
