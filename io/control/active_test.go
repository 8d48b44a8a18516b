package control_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"oleanderlever/io/control"
)

func TestActiveWaitsForTheLastValue(t *testing.T) {
	a := control.NewActive[string, int]()
	a.Wait(context.Background())
	require.True(t, a.Add("x", 1))
	require.False(t, a.Add("x", 2))
	require.True(t, a.Add("y", 3))
	v, ok := a.Get("x")
	require.True(t, ok)
	require.Equal(t, 1, v)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	a.Wait(ended)
	done := make(chan struct{})
	go func() {
		a.Wait(context.Background())
		close(done)
	}()
	a.Remove("x")
	select {
	case <-done:
		require.Fail(t, "y is in progress")
	default:
	}
	a.Remove("y")
	<-done
}
