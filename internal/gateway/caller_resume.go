package gateway

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// callerResumes reports whether the caller resumes a stream that broke off.
func (r *request) callerResumes() bool {
	return r.route.Kind == fleet.Streaming && r.attrs.ResumeAfter != ""
}

// bindToOrigin restricts a request that resumes a stream to upstreams of the software version that
// began it. It returns an error if that is not known: what two versions write does not fit
// together, and upstreams do not check it.
func (r *request) bindToOrigin(ctx context.Context) *errkind.Error {
	origin, err := r.g.Origins.Resolve(ctx, r.query.Service, r.attrs.Resumes)
	if err == nil && !slices.ContainsFunc(r.route.Targets, func(t fleet.Target) bool { return t.Service == origin.Service }) {
		r.g.Stats.countCallerResume("other_service")
		return errkind.New(errkind.StreamNotResumable, "the stream began at a service that the route does not go to")
	}
	if err != nil {
		r.g.Stats.countCallerResume("unknown")
		return errkind.New(errkind.StreamNotResumable, err.Error()).WithRetryAfter(r.retryAfter(defaultRetryAfter))
	}
	r.g.Stats.countCallerResume("known")
	r.query.Service = origin.Service
	r.query.VersionBound, r.query.Version = true, origin.Version
	r.g.Logger.Debug("caller resumes a stream", r.requestIDField(), zap.String("resumes", r.attrs.Resumes), zap.String("version", origin.Version))
	return nil
}

// recordOrigin records, before the caller gets the first event of this request, which upstream
// began the stream, and restricts later attempts to its software version.
func (r *request) recordOrigin(u *fleet.Upstream) {
	if r.writer.started || !r.route.Resumable {
		return
	}
	r.query.VersionBound, r.query.Version = true, u.Version
	r.g.Origins.Began(r.attrs.RequestID, u)
}
