package core

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"ebonyscale.example/ebonyscale/internal/fleet/crash"
	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// cluster is a set of processes whose datagrams a test delivers.
type cluster []*Node

// newCluster returns processes that are live for each other. The first has the most
// cores, so that it is the collector.
func newCluster(t *testing.T, size int) cluster {
	c := make(cluster, size)
	for i := range c {
		c[i] = newNode(t)
		c[i].Name = string(rune('a' + i))
		c[i].peers.Self, c[i].quarantine.trials.Self = c[i].Name, c[i].Name
	}
	for i, n := range c {
		for k, other := range c {
			n.peers.Set(peers.Member{Name: other.Name, Address: netip.MustParseAddrPort("10.0.0.1:1"), Cores: float64(10 - k)})
			if i != k {
				n.peers.Apply(time.Now(), &wire.News{From: other.Name, Incarnation: 1, Sequence: 1})
			}
		}
	}
	return c
}

// deliver delivers the datagrams that wait, but for those that drop accepts.
func (c cluster) deliver(drop func(from, to string) bool) {
	for more := true; more; {
		more = false
		for _, n := range c {
			select {
			case e := <-n.coordination.outbox.Values():
				more = true
				for _, to := range c {
					if to.Name == e.to && (drop == nil || !drop(n.Name, to.Name)) {
						to.handleStatus(e.message)
					}
				}
			default:
			}
		}
	}
}

// run plays the tasks for a time.
func (c cluster) run(d time.Duration, drop func(from, to string) bool) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(quarantineInterval)
		for _, n := range c {
			n.quarantine.tick(time.Now())
		}
		c.deliver(drop)
	}
}

// crashAll plays different prompts that each crash a server, one at each process in turn.
func (c cluster) crashAll(count int, drop func(from, to string) bool, parts ...string) {
	for i := range count {
		c[i%len(c)].quarantine.Crashed(time.Now(), roster.Server{ID: fmt.Sprint("i-", i), Born: 1}, uint64(100+i), parts)
		c.run(2*quarantineInterval, drop)
	}
}

// has reports whether prompts with the part are in quarantine at a process.
func (n *Node) has(part string) bool {
	_, found := n.quarantine.Until(time.Now(), 0, []string{part})
	return found
}

// entry returns the write that waits for the store.
func (n *Node) entry(t *testing.T) store.Object {
	t.Helper()
	select {
	case o := <-n.quarantine.writes.Values():
		return o
	default:
		require.Fail(t, "no write waits")
		return store.Object{}
	}
}

// TestCrashesOfAllProcessesCount checks that processes that each saw too few crashes
// find the cause together, also if half of the datagrams are lost, in a small system
// and in one in which only some collect.
func TestCrashesOfAllProcessesCount(t *testing.T) {
	for _, v := range []struct {
		size int
		loss bool
	}{{6, false}, {6, true}, {20, false}, {20, true}} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, v.size)
			random := rand.New(rand.NewPCG(1, 2))
			drop := func(string, string) bool { return v.loss && random.IntN(2) == 0 }
			c[3].quarantine.Succeeded(1, []string{"a"})
			c.crashAll(5, drop, "a", "bad")
			c[3].quarantine.Succeeded(1, []string{"a"})
			c.run(2*time.Second, drop)
			for _, n := range c {
				assert.True(t, n.has("bad"), n.Name)
				assert.False(t, n.has("a"), "another process has served it")
			}
			o := c[0].entry(t)
			assert.Regexp(t, `^quarantine/[0-9a-f]+$`, o.Key)
			assert.Zero(t, o.Version)
			assert.Empty(t, c[1].quarantine.writes.Values(), "one process writes")
		})
	}
}

// TestCrashesOfARequestAtAllProcessesCount checks that processes that each saw one crash
// under a request find it together, that one of a peer that was served meanwhile is none,
// and that others are not affected.
func TestCrashesOfARequestAtAllProcessesCount(t *testing.T) {
	for _, size := range []int{3, 20} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, size)
			const bad, retried, fine = 7, 8, 9
			for i := range 3 {
				server := roster.Server{ID: fmt.Sprint("i-", i), Born: 1}
				for _, content := range []uint64{bad, retried, fine} {
					c[i].quarantine.Crashed(time.Now(), server, content, []string{"a"})
				}
				c.run(2*quarantineInterval, nil)
			}
			c[2].quarantine.Succeeded(fine, []string{"a"})
			c[1].quarantine.Crashed(time.Now(), roster.Server{ID: "i-9", Born: 1}, bad, nil)
			c.run(time.Second, nil)
			for _, n := range c {
				until, found := n.quarantine.Until(time.Now(), bad, nil)
				assert.True(t, found, n.Name)
				assert.Greater(t, time.Until(until), crash.QuarantineTime/2, n.Name)
				_, found = n.quarantine.Until(time.Now(), fine, nil)
				assert.False(t, found, n.Name)
				assert.False(t, n.has("a"), n.Name)
			}
			time.Sleep(crash.QuarantineTime / 5)
			_, found := c[0].quarantine.Until(time.Now(), retried, nil)
			assert.False(t, found, "it may have been a bystander")
		})
	}
}

// TestCausesAreFoundWithoutTheCollector checks that each side of a partition finds the
// cause of its own crashes.
func TestCausesAreFoundWithoutTheCollector(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		cut := func(from, to string) bool { return from == "a" || to == "a" }
		c[1:].crashAll(8, cut, "bad")
		c.run(time.Second, cut)
		assert.False(t, c[0].has("bad"))
		for _, n := range c[1:] {
			assert.True(t, n.has("bad"), n.Name)
		}
		c.run(2*time.Second, nil)
		assert.True(t, c[0].has("bad"), "it is told again")
	})
}

// TestQuarantineOutlivesProcesses checks that a process that starts learns the parts
// from the store, and that the store gets them again if it has lost them.
func TestQuarantineOutlivesProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		c.crashAll(6, nil, "bad")
		c.run(time.Second, nil)
		o := c[0].entry(t)
		o.Version = 7
		started := newNode(t)
		view := quarantineView{started.quarantine}
		view.Replace(page(o, store.Object{Key: "quarantine/1", Value: []byte("{")}, store.Object{Key: "quarantine/2", Value: []byte(`{"Part":"other"}`)}), false)
		assert.True(t, started.has("bad"))
		assert.False(t, started.has("other"), "an entry under a key that is not its own")

		v := quarantineView{c[0].quarantine}
		v.Change(page(o))
		c.run(2*quarantineWriteRetry, nil)
		assert.Empty(t, c[0].quarantine.writes.Values(), "the store has it")
		v.Replace(page(), false)
		assert.True(t, c[0].has("bad"), "the store has lost it")
		c.run(2*quarantineWriteRetry, nil)
		assert.Equal(t, o.Key, c[0].entry(t).Key)
	})
}

// TestOddQuarantineEntries checks that entries of another writer end no process, put nothing
// into quarantine for longer than any other entry, and hide no other.
func TestOddQuarantineEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNode(t)
		view := quarantineView{n.quarantine}
		entry := func(part, until string) store.Object {
			return store.Object{Key: n.quarantine.key(part), Value: []byte(`{"Part":"` + part + `","UntilMs":` + until + `}`), Version: 7}
		}
		objects := []store.Object{
			entry("future", "9223372036854775807"), entry("past", "-9223372036854775808"), entry("large", "9223372036854775808"),
			entry("fraction", "1.5"), entry("text", `"1"`), entry("nested", strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000)),
			entry(strings.Repeat("x", crash.MaxPartBytes+1), "9223372036854775807"),
			{Key: "quarantine/no-value"},
			{Key: "", Value: []byte("null")},
			entry("sound", fmt.Sprint(time.Now().Add(time.Minute).UnixMilli())),
		}
		view.Replace(page(objects...), false)
		view.Change(page(objects...))
		assert.True(t, n.has("sound"))
		assert.True(t, n.has("future"))
		for _, part := range []string{"past", "large", "fraction", "text", "nested"} {
			assert.False(t, n.has(part), part)
		}
		n.quarantine.tick(time.Now())
		time.Sleep(crash.QuarantineTime + time.Second)
		n.quarantine.tick(time.Now())
		assert.False(t, n.has("future"))
	})
}

// FuzzQuarantined checks that decoding an entry doesn't panic and bounds the subject.
func FuzzQuarantined(f *testing.F) {
	for _, data := range []string{`{"Part":"a","UntilMs":5}`, `{"Part":"a","UntilMs":9223372036854775808}`, `{"Part":7}`, `null`, "\xff", strings.Repeat("[", 20_000)} {
		f.Add([]byte(data))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		entry, err := parseQuarantined(data)
		if err != nil && !errors.Is(err, errInvalidQuarantine) || err == nil && (entry.Part == "" || len(entry.Part) > crash.MaxPartBytes) {
			t.Fatal(entry, err)
		}
	})
}

// TestQuarantineEnds checks that a quarantine ends when its entry is removed, and that
// the entry is removed when its time is over.
func TestQuarantineEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		c.crashAll(6, nil, "bad")
		c.run(time.Second, nil)
		o := c[0].entry(t)
		o.Version = 7
		for _, n := range c {
			quarantineView{n.quarantine}.Change(page(o))
			quarantineView{n.quarantine}.Change(page(store.Object{Key: o.Key, Removed: true}))
		}
		c.run(time.Second, nil)
		for _, n := range c {
			assert.False(t, n.has("bad"), n.Name)
		}

		quarantineView{c[0].quarantine}.Change(page(o))
		time.Sleep(crash.QuarantineTime + time.Second)
		assert.False(t, c[0].has("bad"))
		c[0].quarantine.tick(time.Now())
		assert.Equal(t, store.Object{Key: o.Key, Version: 7}, c[0].entry(t))
		quarantineView{c[0].quarantine}.Change(page(store.Object{Key: o.Key, Removed: true}))
		c[0].quarantine.tick(time.Now())
		assert.Empty(t, c[0].quarantine.subjects.Subjects())
	})
}

func TestQuarantineCodec(t *testing.T) {
	now := time.Now()
	r := crash.Report{Server: 1, Request: 2, At: now.Add(-5 * time.Millisecond), Suspects: []crash.Suspect{{Part: "a", Succeeded: now.Add(-time.Second)}, {Part: "b"}}}
	own := &ownReport{Report: r, told: []int{0, 1}}
	m, _, more := own.encode(now, 0)
	assert.Equal(t, r, decodeReport(now, m))
	assert.False(t, more)
}

// TestPartsOfLongPromptsReachThePeers guards against parts of a prompt that the other processes
// never hear of, as the messages with them are too long or are left out, and against a sound
// part that is found as nobody was asked about it: crashes and services are at different
// processes.
func TestPartsOfLongPromptsReachThePeers(t *testing.T) {
	for _, v := range []struct {
		size, parts int
		loss        bool
	}{{3, 20, false}, {3, 1300, false}, {6, 1300, true}, {20, 1300, false}} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, v.size)
			random := rand.New(rand.NewPCG(1, 2))
			drop := func(string, string) bool { return v.loss && random.IntN(4) == 0 }
			sound := make([]string, v.parts)
			for i := range sound {
				sound[i] = fmt.Sprintf("50ada%03x", i)
			}
			place := v.parts - 3
			for i := range 5 {
				prompt := slices.Clone(sound)
				prompt[place] = "dead0bad"
				server := roster.Server{ID: fmt.Sprint("i-", i), Born: 1}
				c[i%2].quarantine.Crashed(time.Now(), server, uint64(100+i), prompt)
				for k := range 7 {
					c[i%2].quarantine.Crashed(time.Now(), server, uint64(1000+10*i+k), sound)
				}
				// Only one process serves the sound parts.
				c.run(100*time.Millisecond, drop)
				c[2].quarantine.Succeeded(7, sound)
				c.run(200*time.Millisecond, drop)
			}
			c.run(2500*time.Millisecond, drop)
			for _, n := range c {
				assert.True(t, n.has("dead0bad"), "%s of %d, %d parts", n.Name, v.size, v.parts)
				assert.Len(t, n.quarantine.subjects.Subjects(), 1, "%s of %d, %d parts", n.Name, v.size, v.parts)
				assert.Zero(t, n.Meters.Value("CoordinationNotSent"), n.Name)
			}
		})
	}
}

// BenchmarkParts measures, for prompts with few parts and the longest ones, what a request costs
// that is served, and what a crash costs with eight of them in progress: the processor time of
// the process that reports it, and the bytes that it sends in six processes with resendFor.
func BenchmarkParts(b *testing.B) {
	for _, parts := range []int{5, 1300} {
		prompt := make([]string, parts)
		for i := range prompt {
			prompt[i] = fmt.Sprintf("50ada%03x", i)
		}
		n := &Node{Name: "a", Log: zap.NewNop()}
		n.Prepare()
		for i := range 6 {
			n.peers.Set(peers.Member{Name: string(rune('a' + i)), Address: netip.MustParseAddrPort("10.0.0.1:1")})
			n.peers.Apply(time.Now(), &wire.News{From: string(rune('a' + i)), Incarnation: 1, Sequence: 1})
		}
		q := n.quarantine
		b.Run(fmt.Sprint("Request", parts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				q.Until(time.Now(), 1, prompt)
				q.Succeeded(1, prompt)
			}
		})
		b.Run(fmt.Sprint("Crash", parts), func(b *testing.B) {
			server, sent := uint64(0), 0
			drain := func() {
				for {
					select {
					case e := <-n.coordination.outbox.Values():
						sent += proto.Size(e.message)
						continue
					default:
					}
					return
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				q.mu.Lock()
				q.reports, q.sentAt = nil, time.Time{}
				q.mu.Unlock()
				server++
				for k := range uint64(8) {
					q.Crashed(time.Now(), roster.Server{ID: fmt.Sprint(server), Born: 1}, 100*server+k, prompt)
				}
				for now, end := time.Now(), time.Now().Add(resendFor); now.Before(end); now = now.Add(quarantineInterval) {
					q.mu.Lock()
					q.sendReports(now)
					q.mu.Unlock()
					drain()
				}
			}
			b.ReportMetric(float64(sent)/float64(b.N), "sentB/op")
		})
	}
}

// TestRepeatsOfReportsDelayNoNewOne checks that the reports of many long prompts are all sent once
// as fast as messages may be, before any of them is sent again.
func TestRepeatsOfReportsDelayNoNewOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		n := c[0]
		for i := range 40 {
			prompt := make([]string, 1300)
			for p := range prompt {
				prompt[p] = fmt.Sprintf("%02x%06x", i, p)
			}
			n.quarantine.Crashed(time.Now(), roster.Server{ID: fmt.Sprint("i-", i/8), Born: 1}, uint64(i), prompt)
		}
		messages := 40 * (1300*partBytes("00000000")/(maxNewsBytes-messageOverhead-reportBytes) + 1) * 5
		for range messages / maxReportMessages {
			time.Sleep(quarantineInterval)
			n.quarantine.mu.Lock()
			n.quarantine.sendReports(time.Now())
			n.quarantine.mu.Unlock()
			c.deliver(func(string, string) bool { return true })
		}
		assert.False(t, slices.ContainsFunc(n.quarantine.reports, func(r *ownReport) bool { return r.sent.IsZero() }))
	})
}
