/**
 * Emulators of everything around the controllers, written to the published protocol: the state
 * service, the cloud, workers without real work, and users. One set of emulators serves two
 * drivers: the simulated cluster of the tests, and the scale run, which connects them to real
 * controller processes over HTTP on the loopback addresses.
 */
package io.tansystack.emulator;
