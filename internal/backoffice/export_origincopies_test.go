package backoffice

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/courier"
)

// OriginCopier gives specs access to the copying of origins to other control instances.
type OriginCopier struct {
	copier *originCopier
}

// NewOriginCopier returns a copier that has copied nothing yet.
func (i *Instance) NewOriginCopier() OriginCopier {
	return OriginCopier{&originCopier{instance: i}}
}

// IsCallDue reports whether a call is due, which it begins.
func (c OriginCopier) IsCallDue(now time.Time) bool {
	_, due := c.copier.nextCall(now)
	return due
}

// Fail ends a call without a reply.
func (c OriginCopier) Fail(now time.Time) {
	c.copier.finishCall(now, courier.OriginCopyArgs{}, courier.OriginCopyReply{}, errors.New("no reply"))
}
