// Package platform is an in-memory stand-in for the platform's key-value
// service and its list of VMs and database groups. It serves
// proto/platform/v1 over gRPC and injects faults for tests.
package platform
