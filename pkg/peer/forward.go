package peer

import "github.com/sequoiacove/sequoiacove/pkg/request"

// ForwardRequest carries a request to another entry instance.
type ForwardRequest struct {
	Request request.Request `cbor:"r"`
	// Domain is the failure domain that the sender chose.
	Domain string `cbor:"d"`
	// Region is the sender's region, to which the receiver charges its answer.
	Region string `cbor:"rg"`
	// Failed is the instance of the domain that the sender tried before without
	// an answer, so that the receiver does not pass the request on to it.
	Failed string `cbor:"f,omitempty"`
	// RemainingMS is the time to the deadline when the message was sent.
	RemainingMS int64 `cbor:"ms"`
	// Hops counts forwards, so that disagreement about owners cannot loop.
	Hops uint8 `cbor:"h"`
}
