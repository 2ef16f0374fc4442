package admit

// Answer is how a refusal is told to a client: HTTP status, OpenAI's error type and code, and words.
type Answer struct {
	Status              int
	Kind, Code, Message string
}

var answers = [reasons]Answer{
	Rate:          {429, "requests", "connections_too_fast", "refused: new connections come too fast from here; waiting is harmless, hurrying makes it longer"},
	Share:         {429, "requests", "connections_too_many", "refused: this address holds its share of connections"},
	Full:          {503, "server_error", "router_full", "refused: this router has no room for another connection"},
	ClientCap:     {429, "requests", "connections_too_many", "refused: this client holds its share of connections"},
	Anteroom:      {503, "server_error", "router_full", "refused: this router has no room for another connection"},
	NotKnown:      {503, "server_error", "router_full", "refused: this router has room for known clients only just now"},
	SlowHeader:    {408, "invalid_request_error", "header_timeout", "the call's header did not come in time"},
	Idle:          {408, "invalid_request_error", "idle", "no call came for too long"},
	Room:          {503, "server_error", "router_full", "refused: others need the room"},
	Calls:         {503, "server_error", "connection_used_up", "refused: this connection had its calls; another is welcome"},
	Revoked:       {401, "invalid_request_error", "invalid_api_key", "this client is not known here any more"},
	Completions:   {429, "requests", "completions_too_many", "not taken: too many completions are open"},
	Early:         {429, "requests", "rate_limit_exceeded", "rate-limited: trying again is harmless, but not before its time"},
	NoDescriptors: {503, "server_error", "router_full", "refused: this router has no descriptors left"},
	Stopping:      {503, "server_error", "stopping", "this router is stopping"},
}

// Answer is what a refusal for a reason says.
func (r Reason) Answer() Answer { return answers[r] }
