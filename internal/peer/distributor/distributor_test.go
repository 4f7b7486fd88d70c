package distributor_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/node/timekeeper"
	"github.com/plantainwheel/plantainwheel/internal/peer/distributor"
	"github.com/plantainwheel/plantainwheel/platform"
	"gotest.tools/v3/assert"
)

const topic = platform.MemberTopic

func record(offset int64, key, value string) platform.Record {
	return platform.Record{Offset: offset, Key: key, Value: []byte(value)}
}

func reading(era platform.Era, next int64, provenAt time.Duration, records ...platform.Record) *distributor.Reading {
	return &distributor.Reading{Batch: platform.Batch{Records: records, Next: next, End: next, Era: era}, Complete: true, ProvenAt: provenAt}
}

// newCopy returns a copy that holds the keys a and b, read at the given time in era 1.
func newCopy(provenAt time.Duration) *distributor.Copy {
	c := &distributor.Copy{Now: timekeeper.SinceBoot}
	c.Store(topic, distributor.FromNewest, reading(1, 4, provenAt, record(1, "a", "1"), record(3, "b", "1")))
	return c
}

// TestCopy checks what a node passes on of the records that it has read.
func TestCopy(t *testing.T) {
	const now = 20 * time.Second
	second := time.Second
	for _, c := range []struct {
		name    string
		update  *distributor.Reading
		from    int64
		q       distributor.Question
		err     error
		next    int64
		records int
	}{
		{"newest", nil, 0, distributor.Question{Era: 1, From: distributor.FromNewest, MaxAge: second}, nil, 4, 2},
		{"from an offset", nil, 0, distributor.Question{Era: 1, From: 2, MaxAge: second}, nil, 4, 1},
		{"nothing further", nil, 0, distributor.Question{Era: 1, From: 4, MaxAge: second}, nil, 4, 0},
		{"too old", nil, 0, distributor.Question{Era: 1, From: 2, MaxAge: 0}, distributor.ErrStale, 0, 0},
		{"behind", nil, 0, distributor.Question{Era: 1, From: 5, MaxAge: second}, distributor.ErrBehind, 0, 0},
		{"asked in an earlier era", nil, 0, distributor.Question{Era: 0, From: 7, MaxAge: second}, nil, 4, 2},
		{"asked in a later era", nil, 0, distributor.Question{Era: 2, From: 0, MaxAge: second}, distributor.ErrBehind, 0, 0},
		{"continued", reading(1, 6, now, record(5, "a", "2")), 4, distributor.Question{Era: 1, From: 4, MaxAge: 0}, nil, 6, 1},
		{"deleted key is told", reading(1, 6, now, record(5, "a", "")), 4, distributor.Question{Era: 1, From: 4, MaxAge: 0}, nil, 6, 1},
		{"deleted key is not among the newest", reading(1, 6, now, record(5, "a", "")), 4, distributor.Question{Era: 1, From: distributor.FromNewest}, nil, 6, 1},
		{"gap is not taken over", reading(1, 9, now, record(8, "a", "2")), 7, distributor.Question{Era: 1, From: 4, MaxAge: second}, nil, 4, 0},
		{"other era replaces", reading(2, 2, now, record(1, "c", "1")), distributor.FromNewest, distributor.Question{Era: 2, From: distributor.FromNewest}, nil, 2, 1},
		{"records of another era are not mixed in", reading(2, 6, now, record(5, "c", "1")), 4, distributor.Question{Era: 1, From: 4, MaxAge: second}, nil, 4, 0},
		{"other topic", nil, 0, distributor.Question{Topic: "x", Era: 1, From: 0, MaxAge: time.Hour}, distributor.ErrStale, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			copied := newCopy(now - 500*time.Millisecond)
			if c.update != nil {
				copied.Store(topic, c.from, c.update)
			}
			if c.q.Topic == "" {
				c.q.Topic = topic
			}
			c.q.Wait = 10 * time.Millisecond
			r, err := copied.Read(t.Context(), now, c.q)
			assert.ErrorIs(t, err, c.err)
			assert.Equal(t, len(r.Records), c.records)
			assert.Equal(t, r.Next, c.next)
		})
	}
}

// TestIncompleteReadProvesNothing guards against taking a part of the records for all of them.
func TestIncompleteReadProvesNothing(t *testing.T) {
	c := newCopy(time.Second)
	part := reading(1, 6, 9*time.Second, record(5, "a", "2"))
	part.Complete = false
	c.Store(topic, 4, part)
	r, err := c.Read(t.Context(), 9*time.Second, distributor.Question{Topic: topic, Era: 1, From: 4, MaxAge: time.Minute})
	assert.NilError(t, err)
	assert.Equal(t, r.ProvenAt, time.Second)
}

// TestManyRecordsInParts checks that a long list is passed on in parts, of which only the last proves anything.
func TestManyRecordsInParts(t *testing.T) {
	c := &distributor.Copy{Now: timekeeper.SinceBoot}
	var records []platform.Record
	for i := range 1200 {
		records = append(records, record(int64(i), string(rune('a'+i%26))+string(rune('a'+i/26)), "x"))
	}
	c.Store(topic, distributor.FromNewest, reading(1, 1200, 0, records...))
	q := distributor.Question{Topic: topic, Era: 1, From: distributor.FromNewest, MaxAge: time.Hour, Wait: time.Millisecond}
	got, parts := 0, 0
	for complete := false; !complete; parts++ {
		r, err := c.Read(t.Context(), 0, q)
		assert.NilError(t, err)
		assert.Assert(t, r.Next > q.From)
		got, complete, q.From = got+len(r.Records), r.Complete, r.Next
	}
	assert.Equal(t, got, 1200)
	assert.Equal(t, parts, 3)
}

// TestWaits checks that a question waits for a record, and that one that needs a recent read waits for that.
func TestWaits(t *testing.T) {
	for _, c := range []struct {
		name   string
		maxAge time.Duration
		update *distributor.Reading
	}{
		{"for a record", time.Hour, reading(1, 6, 2*time.Second, record(5, "a", "2"))},
		{"for a read", 0, reading(1, 6, 11*time.Second, record(5, "a", "2"))},
	} {
		t.Run(c.name, func(t *testing.T) {
			copied := newCopy(time.Second)
			asked := make(chan bool, 1)
			copied.OnQuestion = func(_ string, stale bool) bool {
				asked <- stale
				return true
			}
			go func() {
				<-asked
				copied.Store(topic, 4, c.update)
			}()
			r, err := copied.Read(t.Context(), 10*time.Second, distributor.Question{Topic: topic, Era: 1, From: 4, MaxAge: c.maxAge, Wait: 5 * time.Second})
			assert.NilError(t, err)
			assert.Equal(t, r.Next, int64(6))
		})
	}
}

// TestAnswersWithNewerProof guards against nodes that learn of a newer proof only when their question has waited to its end,
// and whose records are then older than those of the node that they ask.
func TestAnswersWithNewerProof(t *testing.T) {
	copied := newCopy(9 * time.Second)
	asked := make(chan bool, 1)
	copied.OnQuestion = func(_ string, stale bool) bool {
		asked <- stale
		return true
	}
	go func() {
		assert.Check(t, !<-asked)
		copied.Store(topic, 4, reading(1, 4, 10*time.Second))
	}()
	began := time.Now()
	r, err := copied.Read(t.Context(), 10*time.Second, distributor.Question{Topic: topic, Era: 1, From: 4, MaxAge: time.Minute, Wait: 5 * time.Second})
	assert.NilError(t, err)
	assert.Equal(t, r.ProvenAt, 10*time.Second)
	assert.Equal(t, len(r.Records), 0)
	assert.Assert(t, time.Since(began) < time.Second)
}

// TestAnswersAtOnceWithoutStore checks that a node that cannot read the store does not keep the others waiting, also if
// it learns that only while they wait, and that one that has not tried again yet does so first.
func TestAnswersAtOnceWithoutStore(t *testing.T) {
	for _, c := range []struct {
		name        string
		failedFirst bool
		canRead     bool
	}{{"failed before", true, false}, {"fails while others wait", false, true}, {"tries again and fails", true, true}} {
		t.Run(c.name, func(t *testing.T) {
			copied := newCopy(9 * time.Second)
			if c.failedFirst {
				copied.Fail(topic)
			}
			copied.OnQuestion = func(string, bool) bool {
				if c.canRead {
					time.AfterFunc(20*time.Millisecond, func() { copied.Fail(topic) })
				}
				return c.canRead
			}
			began := time.Now()
			_, err := copied.Read(t.Context(), 10*time.Second, distributor.Question{Topic: topic, Era: 1, From: 4, MaxAge: time.Minute, Wait: 5 * time.Second})
			assert.ErrorIs(t, err, distributor.ErrStale)
			assert.Assert(t, time.Since(began) < time.Second)
			copied.Store(topic, 4, reading(1, 5, 10*time.Second, record(4, "a", "2")))
			copied.OnQuestion = nil
			_, err = copied.Read(t.Context(), 10*time.Second, distributor.Question{Topic: topic, Era: 1, From: 4, Wait: time.Second})
			assert.NilError(t, err)
		})
	}
}

// TestAgeCountsFromTheQuestion guards against records that are taken for more recent than they are, because the answer
// or the question lay in a socket of a process that was paused. The clock of the nodes is scripted, so that only these
// delays count.
func TestAgeCountsFromTheQuestion(t *testing.T) {
	const age, delay = 300 * time.Millisecond, 200 * time.Millisecond
	// rounding is the largest error of a reading's time.
	const rounding = 2 * time.Microsecond
	for _, c := range []struct {
		name          string
		before, after time.Duration
	}{{"not delayed", 0, 0}, {"question delayed", delay, 0}, {"answer delayed", 0, delay}} {
		t.Run(c.name, func(t *testing.T) {
			var clock atomic.Int64
			clock.Store(int64(time.Hour))
			now := func() time.Duration { return time.Duration(clock.Load()) }
			provenAt := now() - age
			copied := newCopy(provenAt)
			copied.Now = now
			handler := (&distributor.Server{Copy: copied, Topics: []string{topic}}).Handler()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				clock.Add(int64(c.before))
				recorder := httptest.NewRecorder()
				handler.ServeHTTP(recorder, r)
				clock.Add(int64(c.after))
				for k, v := range recorder.Header() {
					w.Header()[k] = v
				}
				w.WriteHeader(recorder.Code)
				_, _ = w.Write(recorder.Body.Bytes())
			}))
			defer server.Close()
			q := distributor.Question{Topic: topic, Era: 1, From: distributor.FromNewest, MaxAge: time.Minute, Wait: 5 * time.Second}
			r, err := distributor.NewClient(now).Read(t.Context(), strings.TrimPrefix(server.URL, "http://"), q)
			assert.NilError(t, err)
			assert.Equal(t, len(r.Records), 2)
			assert.Assert(t, r.ProvenAt <= provenAt, "taken for %s newer", r.ProvenAt-provenAt)
			assert.Assert(t, r.ProvenAt >= provenAt-c.before-rounding, "taken for %s older", provenAt-r.ProvenAt)
		})
	}
}

func ask(ctx context.Context, server *httptest.Server, q distributor.Question) (distributor.Reading, error) {
	return distributor.NewClient(timekeeper.SinceBoot).Read(ctx, strings.TrimPrefix(server.URL, "http://"), q)
}

// TestUnusableAnswers checks that a node without the call, one that fails, one that is silent and one that sends junk or
// too much are told apart from one whose records are too old.
func TestUnusableAnswers(t *testing.T) {
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		err     error
	}{
		{"older node", http.NotFound, distributor.ErrNode},
		{"failing", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, distributor.ErrNode},
		{"silent", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, distributor.ErrNode},
		{"junk", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/protobuf")
			_, _ = w.Write([]byte("\xff\xff\xff junk"))
		}, distributor.ErrNode},
		{"endless", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "application/protobuf")
			for r.Context().Err() == nil {
				if _, err := w.Write(make([]byte, 1<<16)); err != nil {
					return
				}
			}
		}, distributor.ErrNode},
		{"topic not passed on", (&distributor.Server{Copy: newCopy(0), Topics: []string{"other"}}).Handler().ServeHTTP, distributor.ErrNode},
		{"records too old", (&distributor.Server{Copy: newCopy(0), Topics: []string{topic}}).Handler().ServeHTTP, distributor.ErrStale},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(c.handler)
			defer server.CloseClientConnections()
			_, err := ask(t.Context(), server, distributor.Question{Topic: topic, Era: 1, From: 2})
			assert.ErrorIs(t, err, c.err)
		})
	}
}

// FuzzRead checks that no question ends the process.
func FuzzRead(f *testing.F) {
	f.Add(topic, int64(1), int64(-1), int64(0), int64(1000))
	f.Add(topic, int64(-9), int64(-9), int64(-9), int64(-9))
	f.Add("", int64(1<<62), int64(1<<62), int64(1), int64(1<<62))
	server := &distributor.Server{Copy: newCopy(0), Topics: []string{topic}}
	f.Fuzz(func(t *testing.T, name string, era, from, wait, maxAge int64) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		reply, err := server.Read(ctx, &distributor.ReadRequest{Topic: name, Era: era, From: from, WaitMs: wait, MaxAgeMs: maxAge})
		assert.Assert(t, (reply == nil) == (err != nil))
	})
}
