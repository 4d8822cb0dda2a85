//! Connections to clients that are closed, and the end of the process.
