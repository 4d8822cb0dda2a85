//! The links with real threads and sockets.

mod bad;
mod common;
mod links;
mod wanted;
