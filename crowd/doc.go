// Package crowd tests daemons as processes against clients that send or read without limit. It has no code of its own.
package crowd
