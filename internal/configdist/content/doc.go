// Package content is what a configuration holds: services with their settings, routes and tenants, as immutable trees
// with a content hash that share what is equal. It validates changes, and finds what differs between two trees. It
// does no I/O. The running gateway does not use it yet.
package content
