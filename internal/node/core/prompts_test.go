package core

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/node/broker"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
)

const promptTable = `{"Version":1,"Routes":[{"Name":"chat","Host":"h","Prefix":"/","Kind":"Stream","TimeoutMs":5000,"AimMs":200,"Service":"model","Attempts":1,"Prompted":true}],
 "Services":[{"Name":"model","Engine":{"Slots":8%s}}]}`

// slowEngines prefill at once and send no event.
type slowEngines struct{ broker.Servers }

func (slowEngines) Prefill(_ context.Context, s roster.Server, _ broker.Call) (broker.KVSource, *broker.Response, error) {
	return broker.KVSource{Address: s.Address, Handle: "h"}, nil, nil
}

func (slowEngines) Send(ctx context.Context, _ roster.Server, _ broker.Call) (*broker.Response, error) {
	<-ctx.Done()
	return nil, &call.Error{Stage: call.StageReading, Err: ctx.Err()}
}

type noOutput struct{}

func (noOutput) Respond(broker.Reply) error    { return nil }
func (noOutput) Begin(int, []call.Field) error { return nil }
func (noOutput) Event([]byte) error            { return nil }
func (noOutput) End() error                    { return nil }

// TestPromptsAreTold guards against engines whose memory other processes fill, as they do not hear of
// prompts, and against messages that say without CacheTokens that there are none.
func TestPromptsAreTold(t *testing.T) {
	for _, cacheTokens := range []string{"", `,"CacheTokens":100000`} {
		synctest.Test(t, func(t *testing.T) {
			a, b := newNode(t), newNode(t)
			b.peers.Self = "b"
			a.Broker.Servers = slowEngines{}
			for i, role := range []roster.Role{roster.Prefill, roster.Decode} {
				s := roster.Server{ID: string(role), Born: 1, Service: "model", Zone: "calicut", Slots: 8, State: roster.Ready, Role: role, Address: a.Address}
				a.roster.Update(time.Now(), uint64(1+i), []roster.Event{{Server: s}}, roster.Grace{})
			}
			a.activate([]byte(fmt.Sprintf(promptTable, cacheTokens)), "test")
			r := &broker.Request{ID: "r", Host: "h", Method: "POST", Path: "/x", Arrived: time.Now(), Deadline: time.Now().Add(time.Second), PromptTokens: 9000}
			go a.Broker.Serve(t.Context(), r, noOutput{})
			synctest.Wait()
			message, _ := a.composeStatus()
			b.handleStatus(message)
			decode := b.peers.Server(roster.Key("Decode", 1))
			if cacheTokens == "" {
				assert.True(t, proto.Equal(&wire.ServerLoad{Server: roster.Key("Decode", 1), Running: 1}, message.Loads[0]))
				assert.False(t, message.TellsPrompts)
				assert.Len(t, message.Loads, 1)
				assert.Equal(t, peers.Load{Running: 1, Untold: peers.Untold{Running: 1}}, decode)
				return
			}
			assert.Equal(t, peers.Load{Running: 1, PromptTokens: 9000}, decode)
			assert.Equal(t, peers.Load{PromptTokens: 9000}, b.peers.Server(roster.Key("Prefill", 1)), "the KV cache that the decode engine has not fetched")
			time.Sleep(2 * time.Second)
			message, _ = a.composeStatus()
			assert.Empty(t, message.Loads)
			assert.True(t, message.TellsPrompts)
		})
	}
}

// BenchmarkStatusBytes measures the bytes of a status message without and with prompts, if 960
// requests at 48 engines are spread over so many processes.
func BenchmarkStatusBytes(b *testing.B) {
	for _, processes := range []int{72, 117, 300} {
		for _, tells := range []bool{false, true} {
			b.Run(fmt.Sprintf("processes=%d/tells=%t", processes, tells), func(b *testing.B) {
				random := rand.New(rand.NewPCG(1, 2))
				size, messages := 0, 0
				for b.Loop() {
					loads := map[uint64]*wire.ServerLoad{}
					for range 960 / processes {
						key := roster.Key(fmt.Sprint("i-", random.IntN(48)), 1771089897728)
						if loads[key] == nil {
							loads[key] = &wire.ServerLoad{Server: key}
						}
						l, prompt := loads[key], uint32(100+random.IntN(9090))
						l.Running++
						if l.Running%2 == 0 {
							l.Granted++
							l.GrantedPromptTokens += prompt
						}
						l.PromptTokens += prompt
					}
					m := &wire.News{From: "entry-kollam-17", Incarnation: 1771089897728, Sequence: 4000, TableVersion: 1 << 40, WallMs: 1771089897728, TellsPrompts: tells}
					for _, l := range loads {
						if !tells {
							l.PromptTokens, l.GrantedPromptTokens = 0, 0
						}
						m.Loads = append(m.Loads, l)
					}
					size += proto.Size(m)
					messages++
				}
				b.ReportMetric(float64(size)/float64(messages), "B/message")
			})
		}
	}
}
