// Package observe registers OpenTelemetry instruments that read a value when they are collected, so that the request
// path only keeps plain counters.
package observe

import (
	"context"
	"errors"
	"fmt"

	"go.opentelemetry.io/otel/metric"
)

// Value is one instrument.
type Value struct {
	// Name begins with the component; the exporter adds _total to counters.
	Name        string
	Description string
	Read        func() int64
}

// Uint64 adapts a reader of an unsigned counter.
func Uint64(read func() uint64) func() int64 {
	return func() int64 { return int64(read()) }
}

// Bool adapts a condition; it reads as 0 or 1.
func Bool(read func() bool) func() int64 {
	return func() int64 {
		if read() {
			return 1
		}
		return 0
	}
}

// Counters registers values that only grow.
func Counters(meter metric.Meter, values ...Value) error {
	var errs []error
	for _, v := range values {
		_, err := meter.Int64ObservableCounter(v.Name, metric.WithDescription(v.Description), metric.WithInt64Callback(v.collect))
		errs = append(errs, v.fault(err))
	}
	return errors.Join(errs...)
}

// Gauges registers values that grow and shrink.
func Gauges(meter metric.Meter, values ...Value) error {
	var errs []error
	for _, v := range values {
		_, err := meter.Int64ObservableGauge(v.Name, metric.WithDescription(v.Description), metric.WithInt64Callback(v.collect))
		errs = append(errs, v.fault(err))
	}
	return errors.Join(errs...)
}

func (v Value) collect(_ context.Context, o metric.Int64Observer) error {
	o.Observe(v.Read())
	return nil
}

func (v Value) fault(err error) error {
	if err != nil {
		return fmt.Errorf("metric %s: %w", v.Name, err)
	}
	return nil
}
