package fleet

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
)

// portReservations holds loopback ports for the processes of a fleet. Each port is held by a socket that is bound but
// does not listen: the kernel gives such a port to no other socket that asks for any free port, and refuses connections
// to it, while a process that sets SO_REUSEADDR, as package net does, can still listen on it. The port stays reserved
// while that process is down.
type portReservations struct{ sockets []*os.File }

// reserve returns n distinct loopback addresses, whose ports are reserved until release.
func (r *portReservations) reserve(n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range n {
		address, err := r.reserveOne()
		if err != nil {
			return nil, fmt.Errorf("reserve port: %w", err)
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

func (r *portReservations) reserveOne() (string, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", os.NewSyscallError("socket", err)
	}
	r.sockets = append(r.sockets, os.NewFile(uintptr(fd), "port reservation"))
	loopback := &syscall.SockaddrInet4{Addr: netip.AddrFrom4([4]byte{127, 0, 0, 1}).As4()}
	if err := syscall.Bind(fd, loopback); err != nil {
		return "", os.NewSyscallError("bind", err)
	}
	// SO_REUSEADDR is set after bind, so that the kernel chooses a port that no other socket shares.
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return "", os.NewSyscallError("setsockopt", err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		return "", os.NewSyscallError("getsockname", err)
	}
	inet, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		return "", fmt.Errorf("socket has an address of type %T", bound)
	}
	return net.JoinHostPort(netip.AddrFrom4(inet.Addr).String(), fmt.Sprint(inet.Port)), nil
}

// release ends all reservations.
func (r *portReservations) release() error {
	var errs []error
	for _, s := range r.sockets {
		errs = append(errs, s.Close())
	}
	r.sockets = nil
	return errors.Join(errs...)
}
