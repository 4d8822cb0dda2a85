//! The change log: silence, reloads and lists that cross requests.
