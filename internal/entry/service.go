package entry

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/dispatch"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// servicePrefix precedes the route id in the paths of plain services, which are
// the upstreams that serve no models.
const servicePrefix = "/svc/"

// serviceCall is a call of a plain service that has passed the checks.
type serviceCall struct {
	routeID string
	route   config.Route
	request dispatch.AttemptRequest
}

func (e *Entry) serveService(ctx context.Context, c *app.RequestContext) {
	info := newRequestInfo(c)
	if err := e.beginRequest(); err != nil {
		e.respondError(c, info, err)
		return
	}
	defer e.Lifecycle.End()
	s, err := e.checkService(c, info)
	if err != nil {
		e.respondError(c, info, err)
		return
	}
	if !s.route.Repeatable {
		e.runOnce(ctx, c, info, s)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, info.deadline)
	defer cancel()
	e.forward(ctx, c, info, s.request, routeCost(s.route))
}

func (e *Entry) checkService(c *app.RequestContext, info *requestInfo) (serviceCall, error) {
	var s serviceCall
	if err := e.checkServing(); err != nil {
		return s, err
	}
	v := e.Fleet.View()
	id, _, _ := strings.Cut(strings.TrimPrefix(string(c.Path()), servicePrefix), "/")
	route, ok := v.Routes.Get(id)
	if !ok {
		return s, errkind.New(errkind.RouteNotFound, "route "+excerpt(id)+" does not exist")
	}
	if !route.Open {
		if err := authenticate(v, c, info); err != nil {
			return s, err
		}
	}
	if !route.Open && !teamAllowed(route.Teams, info.team) {
		return s, errkind.New(errkind.Forbidden, "team "+info.team+" may not use route "+id)
	}
	if !acceptsMethod(route, string(c.Method())) {
		return s, errkind.New(errkind.MethodNotAllowed, "route "+id+" does not accept "+excerpt(string(c.Method())))
	}
	if err := readHeaders(v, c, info); err != nil {
		return s, err
	}
	s = serviceCall{routeID: id, route: route, request: serviceRequest(c, info, id, route)}
	return s, nil
}

// routeCost returns the tokens that one call of the route costs.
func routeCost(r config.Route) float64 {
	if r.CostTokens == 0 {
		return 1
	}
	return r.CostTokens
}

func acceptsMethod(r config.Route, method string) bool {
	if len(r.Methods) == 0 {
		return method == http.MethodPost
	}
	return slices.Contains(r.Methods, method)
}

func serviceRequest(c *app.RequestContext, info *requestInfo, routeID string, route config.Route) dispatch.AttemptRequest {
	path := strings.TrimPrefix(string(c.Request.URI().RequestURI()), servicePrefix+routeID)
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	return dispatch.AttemptRequest{
		Team:        info.team,
		Route:       routeID,
		Method:      string(c.Method()),
		Path:        path,
		ContentType: string(c.Request.Header.ContentType()),
		Class:       info.class,
		Repeatable:  route.Repeatable,
		Body:        c.Request.Body(),
	}
}
