package registrar

import (
	"crypto/tls"
	"net"

	"github.com/cockroachdb/errors"
)

// dialOperation is the Op of a net.OpError for a failed connection attempt.
const dialOperation = "dial"

// classifySendError returns an *UnavailableError if no connection was established
// or the server's certificate was not trusted, since the server cannot have
// received any part of the request. After any other error the server may have
// processed the request.
func classifySendError(err error) error {
	var untrusted *tls.CertificateVerificationError
	if errors.As(err, &untrusted) {
		return &UnavailableError{Reason: err.Error()}
	}
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == dialOperation {
		return &UnavailableError{Reason: err.Error()}
	}
	return errors.Wrap(err, "registrar: request")
}
