package simwire

import (
	"encoding/json"
	"fmt"

	"mothrouter/internal/decision"
	"mothrouter/internal/estimate/slowstart"
)

// profile is the part of the start-up settings that the decisions use. Other keys are ignored.
type profile struct {
	Capabilities struct {
		Cancel       bool    `json:"cancel"`
		MaxRetryWait float64 `json:"maxRetryAfterS"`
		Probes       bool    `json:"probes"`
		RetryAfter   bool    `json:"retryAfter"`
		SecondCopies bool    `json:"secondCopies"`
		SendCap      int     `json:"sendCap"`
	} `json:"caps"`
	Classes []struct {
		AimStretch float64 `json:"aimStretch"`
		Objective  float64 `json:"objectiveS"`
		Deadline   float64 `json:"deadlineS"`
		LateWorth  float64 `json:"lateWorth"`
		Worth      float64 `json:"worth"`
		Semantics  string  `json:"semantics"`
		Window     float64 `json:"windowS"`
	} `json:"classes"`
	Costs struct {
		CrossZone float64 `json:"crossZone"`
	} `json:"costs"`
	CountedBy string `json:"countedBy"`
	Discovery string `json:"discovery"`
	Family    struct {
		BundleMax   int       `json:"bundleMax"`
		Cells       int       `json:"cells"`
		ClassFloor  []float64 `json:"classFloor"`
		FetchParts  []int     `json:"fetchParts"`
		NeedByClass []float64 `json:"needByClass"`
		Reach       int       `json:"reach"`
	} `json:"familyInfo"`
	PeersTotal int `json:"peersTotal"`
	Report     struct {
		How string `json:"how"`
	} `json:"report"`
	Rules struct {
		AskWithin    float64  `json:"askWithinS"`
		ColdShare    float64  `json:"coldShare"`
		FallMultiple float64  `json:"fallMultiple"`
		FallTime     float64  `json:"fallS"`
		WarmUp       float64  `json:"warmUpS"`
		BudgetFree   *float64 `json:"budgetFree"`
		ExtraRatio   *float64 `json:"extraRatio"`
		BudgetSpan   float64  `json:"budgetSpanS"`
	} `json:"rules"`
	Tick float64 `json:"tickS"`
	Zone int     `json:"zone"`
}

var idempotencies = map[string]decision.Idempotency{
	"": decision.Idempotent, "free": decision.Idempotent,
	"guarded": decision.IdempotentWithKey, "single_shot": decision.NonIdempotent,
}

var reportModes = map[string]decision.ReportMode{
	"": decision.ReportNone, "silent": decision.ReportNone,
	"piggyback": decision.ReportPiggyback, "pull": decision.ReportPull,
}

// at returns list[i], or what the wire means where the list is shorter.
func at[T any](list []T, i int, absent T) T {
	if i < len(list) {
		return list[i]
	}
	return absent
}

// ParseSettings translates the start-up settings.
func ParseSettings(input string) (decision.Settings, error) {
	var p profile
	if err := json.Unmarshal([]byte(input), &p); err != nil {
		return decision.Settings{}, err
	}
	mode, ok := reportModes[p.Report.How]
	if !ok {
		return decision.Settings{}, fmt.Errorf("report.how: cannot read %q", p.Report.How)
	}
	if p.Discovery != "" && p.Discovery != "push" && p.Discovery != "ask" {
		return decision.Settings{}, fmt.Errorf("discovery: cannot read %q", p.Discovery)
	}
	s := decision.Settings{
		Brokers: p.PeersTotal, Zone: p.Zone,
		ReplicaSets: p.Family.Cells, ReplicationFactor: p.Family.Reach, MaxPartsPerCall: p.Family.BundleMax,
		ReportMode: mode, PollEndpoints: p.Discovery == "ask",
		WeightByWork: p.CountedBy == "work",
		PollInterval: p.Rules.AskWithin, Tick: p.Tick, MaxAttempts: p.Capabilities.SendCap,
		CancelAllowed: p.Capabilities.Cancel, HealthChecksAllowed: p.Capabilities.Probes, HedgingAllowed: p.Capabilities.SecondCopies,
		RetryAfterSupported: p.Capabilities.RetryAfter, MaxRetryAfter: p.Capabilities.MaxRetryWait,
		SlowStart: slowstart.Settings{
			InitialFraction: p.Rules.ColdShare, Duration: p.Rules.WarmUp,
			OverloadFactor: p.Rules.FallMultiple, OverloadWindow: p.Rules.FallTime,
		},
		CrossZoneCost: p.Costs.CrossZone,
	}
	if p.Rules.BudgetFree != nil || p.Rules.ExtraRatio != nil {
		s.RetryBudget.Enabled, s.RetryBudget.Window = true, p.Rules.BudgetSpan
		if p.Rules.BudgetFree != nil {
			s.RetryBudget.Min = int(*p.Rules.BudgetFree)
		}
		if p.Rules.ExtraRatio != nil {
			s.RetryBudget.Ratio = *p.Rules.ExtraRatio
		}
	}
	for i, c := range p.Classes {
		repeat, ok := idempotencies[c.Semantics]
		if !ok {
			return s, fmt.Errorf("classes[%d].semantics: cannot read %q", i, c.Semantics)
		}
		s.Classes = append(s.Classes, decision.Class{
			LatencyObjective: c.Objective, ObjectivePerWork: c.AimStretch, Deadline: c.Deadline, LateValue: c.LateWorth, PriorityWeight: c.Worth,
			Idempotency: repeat, IdempotencyWindow: c.Window,
			CompletenessThreshold: at(p.Family.NeedByClass, i, 1), MinCompleteness: at(p.Family.ClassFloor, i, 1),
			SecondPhaseFanout: at(p.Family.FetchParts, i, 0),
		})
	}
	return s, nil
}
