package registrar

import (
	"crypto/tls"
	"net"

	"github.com/cockroachdb/errors"
)

// dialOperation is what package net calls the making of a connection.
const dialOperation = "dial"

// sendError returns an *UnavailableError if no connection was made or its other
// end not trusted, so that no byte of the request can have arrived. After any other error the request may
// have been taken.
func sendError(err error) error {
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
