package entry

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/work"
)

// servicePrefix precedes the route id in the path of a plain service.
const servicePrefix = "/svc/"

// serviceCall is a checked call of a plain service.
type serviceCall struct {
	routeID string
	route   config.Route
	order   work.AttemptRequest
}

func (e *Entry) serveService(ctx context.Context, c *app.RequestContext) {
	k := newCall(c)
	if err := e.begin(); err != nil {
		e.refuse(c, k, err)
		return
	}
	defer e.Lifecycle.End()
	s, err := e.checkService(c, k)
	if err != nil {
		e.refuse(c, k, err)
		return
	}
	if !s.route.Repeatable {
		e.runOnce(ctx, c, k, s)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, k.deadline)
	defer cancel()
	e.forward(ctx, c, k, s.order, cost(s.route))
}

func (e *Entry) checkService(c *app.RequestContext, k *call) (serviceCall, error) {
	var s serviceCall
	if err := e.mayServe(); err != nil {
		return s, err
	}
	v := e.Fleet.View()
	id, _, _ := strings.Cut(strings.TrimPrefix(string(c.Path()), servicePrefix), "/")
	route, ok := v.Routes.Get(id)
	if !ok {
		return s, errkind.New(errkind.RouteNotFound, "route "+shown(id)+" does not exist")
	}
	if !route.Open {
		if err := authenticate(v, c, k); err != nil {
			return s, err
		}
	}
	if !route.Open && !allowed(route.Teams, k.team) {
		return s, errkind.New(errkind.Forbidden, "team "+k.team+" may not use route "+id)
	}
	if !acceptsMethod(route, string(c.Method())) {
		return s, errkind.New(errkind.MethodNotAllowed, "route "+id+" does not accept "+shown(string(c.Method())))
	}
	if err := readHeaders(v, c, k); err != nil {
		return s, err
	}
	s = serviceCall{routeID: id, route: route, order: serviceOrder(c, k, id, route)}
	return s, nil
}

// cost returns the tokens that one call of the route is charged.
func cost(r config.Route) float64 {
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

func serviceOrder(c *app.RequestContext, k *call, routeID string, route config.Route) work.AttemptRequest {
	path := strings.TrimPrefix(string(c.Request.URI().RequestURI()), servicePrefix+routeID)
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	return work.AttemptRequest{
		Team:        k.team,
		Route:       routeID,
		Method:      string(c.Method()),
		Path:        path,
		ContentType: string(c.Request.Header.ContentType()),
		Class:       k.class,
		Repeatable:  route.Repeatable,
		Body:        c.Request.Body(),
	}
}
