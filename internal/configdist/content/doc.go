// Package content represents the content of a configuration: services with their settings, routes and tenants. It
// stores a configuration as an immutable tree with a content hash; trees share the services that are equal. The
// package validates and applies changes and computes the difference between two trees. It does no I/O. The running
// gateway does not use it yet.
package content
