// Package property has the properties of the reducer, checked with random
// events.
package property
