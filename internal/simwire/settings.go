package simwire

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"mothrouter/internal/decision"
	"mothrouter/internal/estimate/retrybudget"
	"mothrouter/internal/estimate/slowstart"
)

// profile is the part of an instance's startup settings (profileData on the wire) that the decision module uses. Other keys
// are ignored. Times are in seconds.
type profile struct {
	Capabilities  profileCapabilities `json:"caps"`
	Classes       []profileClass      `json:"classes"`
	Costs         profileCosts        `json:"costs"`
	CountedBy     string              `json:"countedBy"` // "work": a query is weighted by its work; otherwise each query counts once
	DiscoveryMode string              `json:"discovery"`
	Family        profileFamily       `json:"familyInfo"`
	Brokers       int                 `json:"peersTotal"`
	LoadReports   profileLoadReports  `json:"report"`
	Rules         profileRules        `json:"rules"`
	Tick          float64             `json:"tickS"`
	Zone          int                 `json:"zone"`
}

// profileCapabilities are the features that the platform allows and their limits.
type profileCapabilities struct {
	Cancel        bool    `json:"cancel"`
	MaxRetryAfter float64 `json:"maxRetryAfterS"`
	HealthChecks  bool    `json:"probes"`
	RetryAfter    bool    `json:"retryAfter"`
	Hedging       bool    `json:"secondCopies"`
	MaxAttempts   int     `json:"sendCap"`
}

// profileClass is a class of queries.
type profileClass struct {
	ObjectivePerWork  float64 `json:"aimStretch"`
	LatencyObjective  float64 `json:"objectiveS"`
	Deadline          float64 `json:"deadlineS"`
	LateValue         float64 `json:"lateWorth"`
	PriorityWeight    float64 `json:"worth"`
	Semantics         string  `json:"semantics"` // a key of idempotencies
	IdempotencyWindow float64 `json:"windowS"`
}

// profileCosts are the costs that the simulator's score includes.
type profileCosts struct {
	CrossZone float64 `json:"crossZone"` // cost of a part sent to another zone, as a fraction of the value of the result
}

// profileFamily describes the data that is served. Its lists are indexed by class and may be shorter than the list of classes.
type profileFamily struct {
	MaxPartsPerCall        int       `json:"bundleMax"`
	ReplicaSets            int       `json:"cells"`
	MinCompleteness        []float64 `json:"classFloor"`
	SecondPhaseFanout      []int     `json:"fetchParts"`
	CompletenessThresholds []float64 `json:"needByClass"`
	ReplicationFactor      int       `json:"reach"`
}

// profileLoadReports describes how load reports are received.
type profileLoadReports struct {
	Mode string `json:"how"` // a key of reportModes
}

// profileRules are parameters of endpoint polling, slow start and the retry budget.
type profileRules struct {
	PollInterval             float64  `json:"askWithinS"`
	SlowStartInitialFraction float64  `json:"coldShare"`
	SlowStartOverloadFactor  float64  `json:"fallMultiple"`
	SlowStartOverloadWindow  float64  `json:"fallS"`
	SlowStartDuration        float64  `json:"warmUpS"`
	RetryBudgetMin           *float64 `json:"budgetFree"`
	RetryBudgetRatio         *float64 `json:"extraRatio"`
	RetryBudgetWindow        float64  `json:"budgetSpanS"`
}

// idempotencies maps values of a class's key semantics.
var idempotencies = map[string]decision.Idempotency{
	"": decision.Idempotent, "free": decision.Idempotent,
	"guarded": decision.IdempotentWithKey, "single_shot": decision.NonIdempotent,
}

// reportModes maps values of the key report.how.
var reportModes = map[string]decision.ReportMode{
	"": decision.ReportNone, "silent": decision.ReportNone,
	"piggyback": decision.ReportPiggyback, "pull": decision.ReportPull,
}

// discoveryModes maps values of the key discovery to whether endpoints are polled.
var discoveryModes = map[string]bool{"": false, "push": false, "ask": true}

// SettingError reports a setting whose value is not allowed.
type SettingError struct {
	Key     string // path, for example classes[1].semantics
	Value   string
	Allowed string // description of the allowed values
}

// Error returns the key, the value and the allowed values.
func (e *SettingError) Error() string {
	return fmt.Sprintf("%s: %q not allowed, want %s", e.Key, e.Value, e.Allowed)
}

// lookUp returns the meaning of a setting's value. Errors are of type *SettingError.
func lookUp[T any](key, value string, meanings map[string]T) (T, error) {
	meaning, ok := meanings[value]
	if !ok {
		names := slices.DeleteFunc(slices.Sorted(maps.Keys(meanings)), func(name string) bool { return name == "" })
		return meaning, &SettingError{Key: key, Value: value, Allowed: "one of " + strings.Join(names, ", ")}
	}
	return meaning, nil
}

// valueOr returns list[i], or absent if the list is too short.
func valueOr[T any](list []T, i int, absent T) T {
	if i < len(list) {
		return list[i]
	}
	return absent
}

// ParseSettings parses startup settings. It returns a *SettingError for a value that is not allowed; other errors are those
// of encoding/json.
func ParseSettings(text string) (decision.Settings, error) {
	var p profile
	if err := json.Unmarshal([]byte(text), &p); err != nil {
		return decision.Settings{}, err
	}
	reportMode, err := lookUp("report.how", p.LoadReports.Mode, reportModes)
	if err != nil {
		return decision.Settings{}, err
	}
	poll, err := lookUp("discovery", p.DiscoveryMode, discoveryModes)
	if err != nil {
		return decision.Settings{}, err
	}
	settings := p.settings()
	settings.ReportMode = reportMode
	settings.PollEndpoints = poll
	for i := range p.Classes {
		class, err := p.class(i)
		if err != nil {
			return settings, err
		}
		settings.Classes = append(settings.Classes, class)
	}
	return settings, nil
}

// settings returns the settings that need no validation.
func (p *profile) settings() decision.Settings {
	return decision.Settings{
		Brokers:             p.Brokers,
		Zone:                p.Zone,
		ReplicaSets:         p.Family.ReplicaSets,
		ReplicationFactor:   p.Family.ReplicationFactor,
		MaxPartsPerCall:     p.Family.MaxPartsPerCall,
		WeightByWork:        p.CountedBy == "work",
		PollInterval:        p.Rules.PollInterval,
		Tick:                p.Tick,
		MaxAttempts:         p.Capabilities.MaxAttempts,
		CancelAllowed:       p.Capabilities.Cancel,
		HealthChecksAllowed: p.Capabilities.HealthChecks,
		HedgingAllowed:      p.Capabilities.Hedging,
		RetryAfterSupported: p.Capabilities.RetryAfter,
		MaxRetryAfter:       p.Capabilities.MaxRetryAfter,
		SlowStart: slowstart.Settings{
			InitialFraction: p.Rules.SlowStartInitialFraction,
			Duration:        p.Rules.SlowStartDuration,
			OverloadFactor:  p.Rules.SlowStartOverloadFactor,
			OverloadWindow:  p.Rules.SlowStartOverloadWindow,
		},
		RetryBudget:   p.Rules.retryBudget(),
		CrossZoneCost: p.Costs.CrossZone,
	}
}

// retryBudget returns the settings of the retry budget. It is enabled if at least one of the keys budgetFree and extraRatio is
// present.
func (r *profileRules) retryBudget() retrybudget.Settings {
	var budget retrybudget.Settings
	if r.RetryBudgetMin == nil && r.RetryBudgetRatio == nil {
		return budget
	}
	budget.Enabled = true
	budget.Window = r.RetryBudgetWindow
	if r.RetryBudgetMin != nil {
		budget.Min = int(*r.RetryBudgetMin)
	}
	if r.RetryBudgetRatio != nil {
		budget.Ratio = *r.RetryBudgetRatio
	}
	return budget
}

// class returns the settings of the class at index i.
func (p *profile) class(i int) (decision.Class, error) {
	class := &p.Classes[i]
	idempotency, err := lookUp(fmt.Sprintf("classes[%d].semantics", i), class.Semantics, idempotencies)
	if err != nil {
		return decision.Class{}, err
	}
	return decision.Class{
		LatencyObjective:      class.LatencyObjective,
		ObjectivePerWork:      class.ObjectivePerWork,
		Deadline:              class.Deadline,
		LateValue:             class.LateValue,
		PriorityWeight:        class.PriorityWeight,
		Idempotency:           idempotency,
		IdempotencyWindow:     class.IdempotencyWindow,
		CompletenessThreshold: valueOr(p.Family.CompletenessThresholds, i, 1),
		MinCompleteness:       valueOr(p.Family.MinCompleteness, i, 1),
		SecondPhaseFanout:     valueOr(p.Family.SecondPhaseFanout, i, 0),
	}, nil
}
