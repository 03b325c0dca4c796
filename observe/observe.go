// Package observe registers OpenTelemetry instruments whose values are read at collection, so that the request path only
// updates plain counters.
package observe

import (
	"context"
	"errors"
	"fmt"

	"go.opentelemetry.io/otel/metric"
)

// Instrument describes one instrument.
type Instrument struct {
	// Name starts with the component's name; the exporter adds _total to counters.
	Name        string
	Description string
	// Read returns the current value; it is called at each collection.
	Read func() int64
}

// Uint64 adapts the read function of an unsigned counter for Value.Read.
func Uint64(read func() uint64) func() int64 {
	return func() int64 { return int64(read()) }
}

// Bool adapts the read function of a condition for Value.Read, as 0 or 1.
func Bool(read func() bool) func() int64 {
	return func() int64 {
		if read() {
			return 1
		}
		return 0
	}
}

// Counters registers values that only increase.
func Counters(meter metric.Meter, values ...Instrument) error {
	var errs []error
	for _, v := range values {
		_, err := meter.Int64ObservableCounter(v.Name, metric.WithDescription(v.Description), metric.WithInt64Callback(v.collect))
		errs = append(errs, v.wrapError(err))
	}
	return errors.Join(errs...)
}

// Gauges registers values that increase and decrease.
func Gauges(meter metric.Meter, values ...Instrument) error {
	var errs []error
	for _, v := range values {
		_, err := meter.Int64ObservableGauge(v.Name, metric.WithDescription(v.Description), metric.WithInt64Callback(v.collect))
		errs = append(errs, v.wrapError(err))
	}
	return errors.Join(errs...)
}

func (v Instrument) collect(_ context.Context, o metric.Int64Observer) error {
	o.Observe(v.Read())
	return nil
}

func (v Instrument) wrapError(err error) error {
	if err != nil {
		return fmt.Errorf("register metric %s: %w", v.Name, err)
	}
	return nil
}
