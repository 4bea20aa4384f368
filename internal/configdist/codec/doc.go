// Package codec encodes and decodes the binary frames that gateways and control machines exchange. A frame consists
// of a header with the version, kind, body length, cluster, sender's incarnation and frame number, then a body and a
// checksum. New fields are added only at the end of a body; a reader skips bytes after the fields that it knows. The
// package does no I/O. The running gateway does not use it yet.
package codec
