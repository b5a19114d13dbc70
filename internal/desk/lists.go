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

// handleEntries handles GET /v1/entries. It responds while the instance is draining too, as
// callers that kept this address must learn which other instances to use.
func (s *Server) handleEntries(c echo.Context) error {
	entries := s.options.Instance.Entries(s.options.Now(), callerOf(c))
	reply := entriesReply{
		Entries:     make([]entryReply, 0, len(entries.Instances)),
		KeepSeconds: entries.TTL.Seconds(),
	}
	for _, entry := range entries.Instances {
		reply.Entries = append(reply.Entries, entryReply(entry))
	}
	return c.JSON(http.StatusOK, reply)
}

// callerParam is the query parameter of GET /v1/entries with the caller's name. It allows
// callers behind one IP address to be spread over the instances. Longer names are truncated to
// maxCallerBytes.
const (
	callerParam    = "caller"
	maxCallerBytes = 64
)

// callerOf returns the caller's name, or its IP address if it gives none.
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

// handleModels handles GET /v1/models: it lists the models and adapters that are available now,
// without duplicates. It refuses if the instance admits no requests, as callers send their next
// requests for the listed models to this instance.
func (s *Server) handleModels(c echo.Context) error {
	if refusal := s.options.Instance.CheckAdmission(s.options.Now()); refusal != nil {
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
	for _, upstream := range s.options.Instance.Upstreams(s.options.Now()) {
		for _, resident := range upstream.Announcement.Resident {
			addModels(add, resident)
		}
	}
	return c.JSON(http.StatusOK, reply)
}

func addModels(add func(string), resident upstreamapi.Resident) {
	add(resident.Model)
	for _, adapter := range resident.Adapters {
		add(adapter)
	}
}
