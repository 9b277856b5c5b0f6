//go:build !linux

package callmux

import "net"

// limitUnsent does nothing: other systems have no such option, or another one.
func limitUnsent(net.Conn) error { return nil }
