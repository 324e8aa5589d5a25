// Package adapter defines what an adapter provides: the header names, formats and calls of one platform (docs/design.md,
// section 11). An adapter makes no decisions; the code that uses it does.
package adapter

import (
	"net"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/config"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/settings"
)

// HeaderNames are the names of the headers in requests and answers.
type HeaderNames struct {
	AttemptID      string // id of a client's attempt; forwarded to the worker and returned
	TimeLeft       string // remaining time of the client in milliseconds
	ExpectedWorker string // to the worker: its id; any other worker refuses the request
	Worker         string // from the worker: its id
	NotRun         string // from the worker: the request did not run and never will
	Urgency        string // to the worker: priority from 0, the most urgent, to 9
	LastEventID    string // id of the last complete event that the client received
	Load           string // from the worker: running, waiting, slots
	TokenCounts    string // tokens of the prompt, and the maximum number of output tokens
	PromptParts    string // parts of the prompt, in order
	Model          string
}

// PromptPart is one part of a prompt, with its number of tokens.
type PromptPart struct {
	ID     string
	Tokens int
}

// Prompt is the size of a prompt according to the headers.
type Prompt struct {
	Model           string
	InputTokens     int
	MaxOutputTokens int
	Parts           []PromptPart
}

// Control contains the control plane's operations for operators. The version that Read returns is the configuration's own.
type Control struct {
	Read   func() (data []byte, version uint64, code resultcode.Code)
	Put    func(base uint64, data []byte) (resultcode.Code, []*resultcode.Fault)
	Change func(base uint64, change []byte) (resultcode.Code, []*resultcode.Fault)
	// EvacuateZone evacuates a zone or, if evacuate is false, readmits it. The connection is the one that the request came on.
	EvacuateZone func(conn net.Conn, zone string, evacuate bool) resultcode.Code
}

// Adapter connects the product to one platform.
type Adapter struct {
	Headers HeaderNames
	// ReadyPath is the path of the readiness endpoint.
	ReadyPath string
	// Prompt parses the size of a request's prompt from its headers, or returns false if they don't contain it.
	Prompt func(h *fasthttp.RequestHeader) (Prompt, bool)
	// Config parses and compiles an operator's configuration, or returns all its faults.
	Config func(data []byte) (*config.Config, []*resultcode.Fault)
	// Change applies changes of single items to a configuration document and returns the whole new document.
	Change func(old, change []byte) ([]byte, []*resultcode.Fault)
	// Workers fetches all workers of all services; get fetches one path from the platform, without retries.
	Workers func(get func(path string) (status int, body []byte, err error)) ([]config.Worker, error)
	// Control returns the handler of the operators' requests.
	Control func(c Control) fasthttp.RequestHandler
	// Settings reads the settings file again; nil if there is none.
	Settings func() (*settings.Settings, error)
}
