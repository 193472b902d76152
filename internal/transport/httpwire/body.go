package httpwire

import (
	"fmt"
	"strconv"

	"github.com/go-json-experiment/json/jsontext"

	"mothrouter/internal/broker"
	"mothrouter/internal/transport/strictjson"
)

// Body is the JSON body of a query.
type Body struct {
	Targets []Target `json:"targets"`
	Query   string   `json:"query"`
}

// Members returns the members of the body for strictjson.
func (b *Body) Members() []strictjson.Member {
	return []strictjson.Member{
		{Name: "targets", Value: &b.Targets},
		{Name: "query", Value: &b.Query},
	}
}

// UnmarshalJSONFrom implements json.UnmarshalerFrom.
func (b *Body) UnmarshalJSONFrom(decoder *jsontext.Decoder) error {
	return strictjson.ReadObject(decoder, b.Members()...)
}

// Target is one part of a query.
type Target struct {
	Partition int     `json:"partition"` // the shard
	Weight    float64 `json:"share"`
	EstUS     float64 `json:"est_us,omitempty"` // estimated service time in microseconds; 0: not stated
	Route     *string `json:"route,omitempty"`  // routing key in hex digits; nil: none
}

// UnmarshalJSONFrom implements json.UnmarshalerFrom.
func (t *Target) UnmarshalJSONFrom(decoder *jsontext.Decoder) error {
	return strictjson.ReadObject(decoder,
		strictjson.Member{Name: "partition", Value: &t.Partition},
		strictjson.Member{Name: "share", Value: &t.Weight},
		strictjson.Member{Name: "est_us", Value: &t.EstUS, Optional: true},
		strictjson.Member{Name: "route", Value: &t.Route, Optional: true},
	)
}

// Parts converts the targets to the broker's parts. Its errors name the JSON field.
func (b *Body) Parts() ([]broker.Part, error) {
	parts := make([]broker.Part, 0, len(b.Targets))
	for i, t := range b.Targets {
		p := broker.Part{Shard: t.Partition, Weight: t.Weight, Work: t.EstUS / 1e6}
		if t.Route != nil {
			var err error
			if p.RouteKey, err = strconv.ParseUint(*t.Route, 16, 64); err != nil {
				return nil, fmt.Errorf("targets[%d].route: cannot read %q", i, *t.Route)
			}
		}
		parts = append(parts, p)
	}
	return parts, nil
}
