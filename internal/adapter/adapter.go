// Package adapter is what an adapter gives the product: the names, formats and calls of one outside world
// (design 11). It holds no decision; whoever reads a book decides.
package adapter

import (
	"net"

	"github.com/valyala/fasthttp"

	"seamshunt/internal/config"
	"seamshunt/internal/resultcode"
	"seamshunt/internal/settings"
)

// HeaderNames are the headers of requests and answers.
type HeaderNames struct {
	AttemptID      string // the id of one try of a client; it goes to the worker and comes back
	TimeLeft       string // how many milliseconds the client still waits
	ExpectedWorker string // to the worker: its id; any other worker turns the request away
	Worker         string // from the worker: its id
	NotRun         string // from the worker: the request did not run and never will
	Urgency        string // to the worker: from 0, the most urgent, to 9
	LastEventID    string // the id of the last whole event that the client has
	Load           string // from the worker: running, waiting, slots
	TokenCounts    string // tokens of the prompt, and the most that are put out
	PromptParts    string // the prompt's parts in order
	Model          string
}

// PromptPart is one part of a prompt, with its tokens.
type PromptPart struct {
	ID     string
	Tokens int
}

// Prompt is what the headers tell of a prompt's size.
type Prompt struct {
	Model           string
	InputTokens     int
	MaxOutputTokens int
	Parts           []PromptPart
}

// Control is what the control plane does for operators. Version is the configuration's own.
type Control struct {
	Read   func() (data []byte, version uint64, code resultcode.Code)
	Put    func(builds uint64, data []byte) (resultcode.Code, []*resultcode.Fault)
	Change func(builds uint64, change []byte) (resultcode.Code, []*resultcode.Fault)
	// EvacuateZone has a zone evacuated, or takes that back. The caller is the connection that the order came on.
	EvacuateZone func(caller net.Conn, zone string, out bool) resultcode.Code
}

// Adapter is one outside world.
type Adapter struct {
	Headers HeaderNames
	// ReadyPath is the path of the question whether a node is ready.
	ReadyPath string
	// Prompt reads what a request's headers tell of its prompt; false when they tell nothing.
	Prompt func(h *fasthttp.RequestHeader) (Prompt, bool)
	// Config takes an operator's bytes to a compiled configuration, or to all its faults.
	Config func(data []byte) (*config.Config, []*resultcode.Fault)
	// Change applies changes by item to a configuration's bytes and gives the whole.
	Change func(old, change []byte) ([]byte, []*resultcode.Fault)
	// Workers asks for all workers of all services; get asks the platform for one path, once.
	Workers func(get func(path string) (status int, body []byte, err error)) ([]config.Worker, error)
	// Control serves operators' calls.
	Control func(c Control) fasthttp.RequestHandler
	// Settings reads the settings file again; nil when there is none to read.
	Settings func() (*settings.Settings, error)
}
