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

// Uint64 adapts the read function of an unsigned counter for Instrument.Read.
func Uint64(read func() uint64) func() int64 {
	return func() int64 { return int64(read()) }
}

// Bool adapts the read function of a condition for Instrument.Read, as 0 or 1.
func Bool(read func() bool) func() int64 {
	return func() int64 {
		if read() {
			return 1
		}
		return 0
	}
}

// Counters registers instruments whose values only increase.
func Counters(meter metric.Meter, instruments ...Instrument) error {
	var errs []error
	for _, i := range instruments {
		_, err := meter.Int64ObservableCounter(i.Name, metric.WithDescription(i.Description), metric.WithInt64Callback(i.collect))
		errs = append(errs, i.wrapError(err))
	}
	return errors.Join(errs...)
}

// Gauges registers instruments whose values increase and decrease.
func Gauges(meter metric.Meter, instruments ...Instrument) error {
	var errs []error
	for _, i := range instruments {
		_, err := meter.Int64ObservableGauge(i.Name, metric.WithDescription(i.Description), metric.WithInt64Callback(i.collect))
		errs = append(errs, i.wrapError(err))
	}
	return errors.Join(errs...)
}

func (i Instrument) collect(_ context.Context, o metric.Int64Observer) error {
	o.Observe(i.Read())
	return nil
}

func (i Instrument) wrapError(err error) error {
	if err != nil {
		return fmt.Errorf("register metric %s: %w", i.Name, err)
	}
	return nil
}
