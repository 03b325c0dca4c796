package peerapi

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"regexp"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"go.uber.org/fx/fxtest"

	"teaselbank.example/teaselbank/lifecycle"
	"teaselbank.example/teaselbank/settings"
)

// startListener serves one handler to peers and returns the address.
func startListener(t *testing.T, state *lifecycle.State, handler http.HandlerFunc) (string, *fxtest.Lifecycle) {
	var logged bytes.Buffer
	lc := fxtest.NewLifecycle(t)
	serve(lc, &settings.Settings{PeerListen: "127.0.0.1:0"}, log.New(&logged), state, []Handler{{Path: "/", Handler: handler}})
	require.NoError(t, lc.Start(context.Background()))
	address := regexp.MustCompile(`address=(\S+)`).FindStringSubmatch(logged.String())
	require.Len(t, address, 2)
	return address[1], lc
}

// Guards against a stop that cuts off a call of a peer that is still running.
func TestStopFinishesCallsOfPeers(t *testing.T) {
	began, finish := make(chan struct{}), make(chan struct{})
	address, lc := startListener(t, lifecycle.New(), func(w http.ResponseWriter, _ *http.Request) {
		close(began)
		<-finish
		_, _ = io.WriteString(w, "whole")
	})
	replies := make(chan string, 1)
	go func() {
		resp, err := http.Get("http://" + address + "/")
		if err != nil {
			replies <- err.Error()
			return
		}
		defer func() { _ = resp.Body.Close() }()
		body, _ := io.ReadAll(resp.Body)
		replies <- string(body)
	}()
	<-began
	stopped := make(chan error, 1)
	go func() { stopped <- lc.Stop(context.Background()) }()
	time.Sleep(2 * shutdownTime)
	close(finish)
	require.Equal(t, "whole", <-replies)
	require.NoError(t, <-stopped)
}
