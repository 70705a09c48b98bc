// Package platform is a small in-memory stand-in for the platform's service.
package platform
