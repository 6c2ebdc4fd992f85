package dial

import "errors"

// ErrRelayEnded is the error of reading from a connection that another daemon relayed and that has ended
// without word of the endpoint's side. It shows nothing about the endpoint.
var ErrRelayEnded = errors.New("the relayed connection ended without word of the endpoint's side")
