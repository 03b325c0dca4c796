// Package examples shows how a program embeds the coordination packages without the daemon. The examples run as tests.
package examples
