package entry

import (
	"context"
	"slices"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// modelList is the OpenAI-style response to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models and adapters that the key's team may use.
func (e *Entry) serveModels(_ context.Context, c *app.RequestContext) {
	info := newRequestInfo(c)
	if err := e.beginRequest(); err != nil {
		e.respondError(c, info, err)
		return
	}
	defer e.Lifecycle.End()
	v, err := e.authenticatedView(c, info)
	if err != nil {
		e.respondError(c, info, err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, id := range teamModels(v, info.team) {
		list.Data = append(list.Data, modelItem{ID: id, Object: "model", OwnedBy: info.team})
	}
	peer.WriteJSON(c, consts.StatusOK, list)
}

func teamModels(v *controlstate.View, team string) []string {
	var ids []string
	for id, m := range v.Models.All() {
		if teamAllowed(m.Teams, team) {
			ids = append(ids, id)
		}
	}
	for id, a := range v.Adapters.All() {
		m, ok := v.Models.Get(a.Model)
		if ok && teamAllowed(m.Teams, team) && teamAllowed(a.Teams, team) {
			ids = append(ids, a.Model+":"+id)
		}
	}
	slices.Sort(ids)
	return ids
}
