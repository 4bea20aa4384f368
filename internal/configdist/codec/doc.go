// Package codec is the binary frame between gateways and control machines and among these: a header with version,
// kind, length, cluster, sender's incarnation and number, a body, and a checksum. Bodies grow only at their ends; a
// reader skips what follows the fields that it knows. It does no I/O. The running gateway does not use it yet.
package codec
