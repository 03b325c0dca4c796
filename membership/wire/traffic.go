package wire

import (
	"context"
	"sync/atomic"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
)

// Traffic counts messages and their size in bytes as encoded, without HTTP framing.
type Traffic struct {
	SentMessages, SentBytes, ReceivedMessages, ReceivedBytes atomic.Uint64
}

// interceptor returns an interceptor that counts the messages of a client or a handler.
func (t *Traffic) interceptor() connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			client := req.Spec().IsClient
			t.count(client, req.Any())
			resp, err := next(ctx, req)
			if err == nil {
				t.count(!client, resp.Any())
			}
			return resp, err
		}
	})
}

func (t *Traffic) count(sent bool, msg any) {
	m, ok := msg.(proto.Message)
	if !ok {
		return
	}
	size := uint64(proto.Size(m))
	if sent {
		t.SentMessages.Add(1)
		t.SentBytes.Add(size)
		return
	}
	t.ReceivedMessages.Add(1)
	t.ReceivedBytes.Add(size)
}
