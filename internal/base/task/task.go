// Package task runs the long-lived tasks of a process, each in a goroutine, under
// a supervisor that restarts those that return or panic.
//
// # Usage
//
//	err := task.Run(ctx, "entry-1", onFailure, []task.Task{{Name: "Watch", Do: watch}})
package task

import (
	"context"

	"github.com/thejerf/suture/v4"
)

// Task is a long-lived task. It runs in a goroutine of its own.
type Task struct {
	Name string
	// Do runs the task until ctx ends. If it returns earlier or panics, it is
	// called again.
	Do func(ctx context.Context) error
}

// Serve implements suture.Service.
func (t Task) Serve(ctx context.Context) error { return t.Do(ctx) }

// String returns the task's name, for the supervisor's events.
func (t Task) String() string { return t.Name }

// Run runs the tasks until ctx ends, and returns nil then. process is the name of
// the supervisor in its events. onFailure is called with a description of each
// event, such as a task that failed and is restarted.
func Run(ctx context.Context, process string, onFailure func(event string), tasks []Task) error {
	supervisor := suture.New(process, suture.Spec{EventHook: func(e suture.Event) { onFailure(e.String()) }})
	for _, t := range tasks {
		supervisor.Add(t)
	}
	err := supervisor.Serve(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}
