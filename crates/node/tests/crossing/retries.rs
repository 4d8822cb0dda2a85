//! Attempts and connections to servers: outcome, deadline, cancel, reset and drain that cross.
