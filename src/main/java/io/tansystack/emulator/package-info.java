/**
 * Emulators of the components around the controllers, written to the published protocol: the state
 * service, the cloud, workers that run no real tasks, and users. They have two drivers: the
 * simulated cluster of the tests, and the scale run, which connects them to real controller
 * processes over HTTP on loopback addresses.
 */
package io.tansystack.emulator;
