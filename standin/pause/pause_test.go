package pause_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/standin/pause"
)

// TestFor guards against a wait that continues after the context has ended.
func TestFor(t *testing.T) {
	require.NoError(t, pause.For(context.Background(), time.Millisecond))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, pause.For(ctx, time.Hour), context.Canceled)
}
