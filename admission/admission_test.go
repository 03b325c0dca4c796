package admission

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselbank.example/teaselbank/outcome"
)

// fill admits queries of a class until one is refused, and returns the done functions of those admitted.
func fill(c *Controller, class Class) []func(bool) {
	var ends []func(bool)
	for {
		end, ok := c.Admit(class)
		if !ok {
			return ends
		}
		ends = append(ends, end)
	}
}

// Guards against urgent queries being refused while batch or normal ones are admitted.
func TestBatchClassIsRefusedBeforeNormalClass(t *testing.T) {
	c := New(clockwork.NewFakeClock())
	assert.Len(t, fill(c, Batch), 45)
	assert.Len(t, fill(c, Normal), 13)
	_, ok := c.Admit(Batch)
	assert.False(t, ok)
	assert.Len(t, fill(c, Urgent), 6)
}

// Guards against a limit that does not decrease on a signal of overload, or stays low after the overload has ended.
func TestLimitFallsOnEachSignalAndRecovers(t *testing.T) {
	signals := map[string]func(c *Controller){
		"queue delay": func(c *Controller) {
			c.Observe(outcome.LeafResult{Status: outcome.LeafOK, QueueTime: maxQueueDelay + 1})
		},
		"owner refusal": func(c *Controller) { c.Observe(outcome.NotRunResult(outcome.ReasonQueueFull, "")) },
		"missed deadline": func(c *Controller) {
			end, _ := c.Admit(Urgent)
			end(true)
		},
	}
	for name, signal := range signals {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			c := New(clock)
			for range 100 {
				signal(c)
				clock.Advance(limitWindow)
				end, ok := c.Admit(Batch)
				require.True(t, ok, "a VM without queries in flight must admit any class")
				end(false)
			}
			require.InDelta(t, minLimit, c.Limit(), 0)
			for range 100 {
				for _, end := range fill(c, Batch) {
					end(false)
				}
				clock.Advance(limitWindow)
			}
			assert.Greater(t, c.Limit(), float64(initialLimit))
		})
	}
}

// Guards against a wrong count of queries in flight, queries admitted above the limit, and a limit below its minimum.
func TestInFlightNeverExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		c := New(clock)
		var ends []func(bool)
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				before := len(ends)
				if end, ok := c.Admit(rapid.SampledFrom([]Class{Urgent, Normal, Batch}).Draw(t, "class")); ok {
					require.Less(t, float64(before), c.Limit())
					ends = append(ends, end)
				}
			},
			"end": func(t *rapid.T) {
				if len(ends) > 0 {
					ends[0](rapid.Bool().Draw(t, "late"))
					ends[0](true)
					ends = ends[1:]
				}
			},
			"advance": func(*rapid.T) { clock.Advance(limitWindow + time.Millisecond) },
			"": func(t *rapid.T) {
				require.Equal(t, len(ends), c.inFlight)
				require.GreaterOrEqual(t, c.Limit(), float64(minLimit))
			},
		})
	})
}
