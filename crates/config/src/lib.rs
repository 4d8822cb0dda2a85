//! The one reader of configuration: the settings, and what a router on sockets is told besides.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod node;
mod settings;
pub mod value;

pub use node::{parse, read, Environment, Limits, Member, News, NodeConfig, Place, Reload, Seq, Transport};
pub use settings::{settings, Names};
pub use value::BadInput;
