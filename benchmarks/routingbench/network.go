package routingbench

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/relay"
)

// RoundTrip implements http.RoundTripper. It passes a relay call to the gates of the addressed node, with the messages
// encoded as on the wire.
func (w *network) RoundTrip(r *http.Request) (*http.Response, error) {
	n, err := w.peer(r.URL.Host)
	if err != nil {
		return nil, err
	}
	req := &peerv1.SendLeafRequest{}
	if err := readMessage(r, req); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(req.GetRemainingUs())*time.Microsecond)
	defer cancel()
	return writeMessage(relay.ResultToMessage(n.set.DoLeaf(ctx, relay.RequestFromMessage(req))))
}

func readMessage(r *http.Request, m proto.Message) error {
	defer func() { _ = r.Body.Close() }()
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return fmt.Errorf("read relay request: %w", err)
	}
	return proto.Unmarshal(data, m)
}

func writeMessage(m proto.Message) (*http.Response, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	return cannedResponse(data), nil
}

// cannedResponse returns a unary response of the Connect protocol with the encoded message data.
func cannedResponse(data []byte) *http.Response {
	return &http.Response{StatusCode: http.StatusOK, Proto: "HTTP/2.0", ProtoMajor: 2,
		Header: http.Header{"Content-Type": []string{"application/proto"}}, ContentLength: int64(len(data)),
		Body: io.NopCloser(bytes.NewReader(data))}
}
