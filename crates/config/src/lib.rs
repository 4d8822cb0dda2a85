//! Reads and checks all configuration: the router's configuration file with the settings of the decision module and the known events of the
//! change log, the optional settings file, and the snapshot file.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod change_log;
mod decision_settings;
pub mod fleet;
mod hierarchy;
pub mod overlay;
mod router_config;
mod settings_file;
pub mod snapshot;
mod typed;
pub mod value;
mod wire_names;
pub mod yaml;

pub use change_log::{ListedServer, Seq, ServerProcess, WatchEvent};
pub use decision_settings::parse_settings;
pub use fleet::Fleet;
pub use hierarchy::{fill_plan, Hierarchy};
pub use router_config::{parse_config, read_config, Environment, Limits, Reload, RouterConfig, Transport};
pub use settings_file::{parse_settings_file, read_settings_file, RouterSettings, SnapshotFile};
pub use value::FieldError;
pub use wire_names::WireNames;
pub use yaml::YamlError;
