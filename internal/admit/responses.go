package admit

// ErrorResponse is the response to a refusal: HTTP status, and type, code and message of the OpenAI error object.
type ErrorResponse struct {
	Status              int
	Type, Code, Message string
}

var errorResponses = [reasonCount]ErrorResponse{
	ReasonConnectionRate:     {429, "requests", "connections_too_fast", "refused: new connections come too fast from here; waiting is harmless, hurrying makes it longer"},
	ReasonAddressLimit:       {429, "requests", "connections_too_many", "refused: this address holds its share of connections"},
	ReasonPoolFull:           {503, "server_error", "router_full", "refused: this router has no room for another connection"},
	ReasonClientLimit:        {429, "requests", "connections_too_many", "refused: this client holds its share of connections"},
	ReasonProvisionalEvicted: {503, "server_error", "router_full", "refused: this router has no room for another connection"},
	ReasonNotIdentified:      {503, "server_error", "router_full", "refused: this router has room for known clients only just now"},
	ReasonHeaderTimeout:      {408, "invalid_request_error", "header_timeout", "the call's header did not come in time"},
	ReasonIdleTimeout:        {408, "invalid_request_error", "idle", "no call came for too long"},
	ReasonPreempted:          {503, "server_error", "router_full", "refused: others need the room"},
	ReasonRequestLimit:       {503, "server_error", "connection_used_up", "refused: this connection had its calls; another is welcome"},
	ReasonClientRevoked:      {401, "invalid_request_error", "invalid_api_key", "this client is not known here any more"},
	ReasonCompletionLimit:    {429, "requests", "completions_too_many", "not taken: too many completions are open"},
	ReasonEarlyRetry:         {429, "requests", "rate_limit_exceeded", "rate-limited: trying again is harmless, but not before its time"},
	ReasonNoDescriptors:      {503, "server_error", "router_full", "refused: this router has no descriptors left"},
	ReasonStopping:           {503, "server_error", "stopping", "this router is stopping"},
}

// Response returns the response for a reason.
func (r Reason) Response() ErrorResponse { return errorResponses[r] }
