//! Reads and checks all configuration: the settings of the decision module, those of a router on sockets, and the snapshot file.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod change_log;
pub mod fleet;
mod node;
pub mod overlay;
pub mod plan;
mod settings;
pub mod snapshot;
mod typed;
pub mod value;
pub mod yaml;

pub use change_log::{Member, News, Place, Seq};
pub use fleet::Fleet;
pub use node::{parse, read, Environment, Limits, NodeConfig, Reload, Transport};
pub use plan::{own_settings, Carry, Hierarchy, OwnSettings};
pub use settings::{settings, Names};
pub use value::BadInput;
pub use yaml::BadFile;
