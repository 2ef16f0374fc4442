package edge

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"
)

// HandleChatCompletion serves a chat completion request without a socket.
func (e *Edge) HandleChatCompletion(ctx context.Context, rc *app.RequestContext) {
	e.handleChatCompletion(ctx, rc)
}
