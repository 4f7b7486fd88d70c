package forwarder

import (
	"fmt"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/route/transporter"
	"gotest.tools/v3/assert"
)

// TestRetentionOfCalls checks how long calls and their answers are kept, and the bound on the size of the answers.
func TestRetentionOfCalls(t *testing.T) {
	var c calls
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	begin := func(now time.Time, id string) (*call, int) {
		_, k, n := c.receive(now, callID{id: id})
		return k, n
	}
	k, n := begin(at(0), "a")
	assert.Equal(t, n, 1)
	c.end(at(time.Second), k, &transporter.Answer{Status: 200})
	_, n = begin(at(time.Second+answerRetention), "a")
	assert.Equal(t, n, 2)
	assert.Equal(t, c.result(k).Status, 200)
	_, n = begin(at(2*time.Second+answerRetention), "a")
	assert.Equal(t, n, 3, "the answer is dropped, the call is not")
	assert.Assert(t, c.result(k).Unknown)
	_, n = begin(at(2*time.Second+callRetention), "a")
	assert.Equal(t, n, 1)

	const size = 64 << 10
	var last *call
	for i := range 2 * maxAnswerBytes / size {
		last, _ = begin(at(time.Minute), fmt.Sprint(i))
		c.end(at(time.Minute), last, &transporter.Answer{Status: 200, Body: transporter.Body{Buffered: make([]byte, size)}})
		assert.Assert(t, c.answerBytes <= maxAnswerBytes+size)
	}
	assert.Equal(t, c.result(last).Status, 200)
}

// TestUnendedCalls checks that a call is recognised for as long as it runs.
func TestUnendedCalls(t *testing.T) {
	var c calls
	now := time.Now()
	for i := range 3 {
		_, _, n := c.receive(now.Add(time.Duration(i)*time.Hour), callID{id: "a"})
		assert.Equal(t, n, i+1)
	}
}
