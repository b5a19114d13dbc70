package desk

import (
	"net"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

type entriesReply struct {
	Entries     []entryReply `json:"entries"`
	KeepSeconds float64      `json:"keep-seconds"`
}

type entryReply struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure-domain"`
}

// entries answers GET /v1/entries. It answers while draining too: a caller that
// kept this address must learn where else to go.
func (d *Desk) entries(c echo.Context) error {
	entries := d.options.Instance.Entries(d.options.Now(), callerOf(c))
	reply := entriesReply{
		Entries:     make([]entryReply, 0, len(entries.List)),
		KeepSeconds: entries.Keep.Seconds(),
	}
	for _, entry := range entries.List {
		reply.Entries = append(reply.Entries, entryReply(entry))
	}
	return c.JSON(http.StatusOK, reply)
}

// callerParam names the caller to GET /v1/entries, so that those behind one IP
// number spread over the instances. maxCallerBytes bounds it.
const (
	callerParam    = "caller"
	maxCallerBytes = 64
)

// callerOf returns the name of a caller, its IP number if it gives none.
func callerOf(c echo.Context) string {
	if name := c.QueryParam(callerParam); name != "" {
		return name[:min(len(name), maxCallerBytes)]
	}
	host, _, err := net.SplitHostPort(c.Request().RemoteAddr)
	if err != nil {
		return c.Request().RemoteAddr
	}
	return host
}

type modelsReply struct {
	Object string       `json:"object"`
	Data   []modelReply `json:"data"`
}

type modelReply struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models answers GET /v1/models with the models and adapters that can be
// reached now, each once. An instance that admits no requests refuses this too: what
// it lists, callers ask it for next.
func (d *Desk) models(c echo.Context) error {
	if refusal := d.options.Instance.Admits(d.options.Now()); refusal != nil {
		return refusal
	}
	reply := modelsReply{Object: "list", Data: []modelReply{}}
	seen := map[string]bool{}
	add := func(name string) {
		if seen[name] {
			return
		}
		seen[name] = true
		reply.Data = append(reply.Data, modelReply{ID: name, Object: "model", OwnedBy: "lovagelift"})
	}
	for _, upstream := range d.options.Instance.Upstreams(d.options.Now()) {
		for _, resident := range upstream.Announcement.Resident {
			addResident(add, resident)
		}
	}
	return c.JSON(http.StatusOK, reply)
}

func addResident(add func(string), resident upstreamapi.Resident) {
	add(resident.Model)
	for _, adapter := range resident.Adapters {
		add(adapter)
	}
}
