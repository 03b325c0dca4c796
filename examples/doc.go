// Package examples shows how a program embeds the placement and search packages without the daemon. The examples run as
// tests.
package examples
