package edge

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"
)

// Complete serves one chat call without a socket.
func (e *Edge) Complete(ctx context.Context, rc *app.RequestContext) { e.complete(ctx, rc) }
