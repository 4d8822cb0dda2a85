//! The router's optional settings file in YAML (`serve --with FILE`): the cache tree, the snapshot file and the fleet.

use crate::fleet::{parse_fleet, Fleet, FleetFile};
use crate::hierarchy::{parse_hierarchy, Hierarchy, HierarchyFile};
use crate::yaml::{compile_schema, Document, YamlError};
use basaltgw::api::Ms;
use basaltgw_hierarchy::SlowStart;
use jsonschema::Validator;
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::sync::OnceLock;

/// The settings of the file by section; each section may be absent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouterSettings {
    /// The cache tree; without it the router has no plan.
    pub hierarchy: Option<Hierarchy>,
    /// The snapshot file; without it a process hands nothing over to the next.
    pub snapshot_file: Option<SnapshotFile>,
    /// The router's fleet; without it the router replicates nothing.
    pub fleet: Option<Fleet>,
}

/// The section `carry`: the file in which a process hands the decision module's state over to the next.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotFile {
    /// The file's path.
    pub path: PathBuf,
    /// The age in milliseconds above which a snapshot is ignored.
    pub max_age: Ms,
}

/// The sections as the file has them.
#[derive(Deserialize)]
struct File {
    hierarchy: Option<HierarchyFile>,
    carry: Option<CarryFile>,
    fleet: Option<FleetFile>,
}

/// The section `carry`.
#[derive(Deserialize)]
struct CarryFile {
    file: PathBuf,
    oldest_s: Option<f64>,
}

/// The default of `carry.oldest_s`: the state of servers is out of date after ten minutes.
const DEFAULT_MAX_AGE_S: f64 = 600.0;

/// The schema of the settings file.
fn validator() -> &'static Validator {
    static SCHEMA: OnceLock<Validator> = OnceLock::new();
    SCHEMA.get_or_init(|| compile_schema(include_str!("../../../deploy/basaltgw.schema.json")))
}

/// Reads the settings file; `slow_start` is that of parent caches by the router's configuration.
///
/// # Errors
/// If the file can't be read or is not YAML, or the first invalid key.
pub fn read_settings_file(path: &Path, slow_start: SlowStart) -> Result<RouterSettings, YamlError> {
    parse_sections(&Document::read(path, validator())?, slow_start)
}

/// Parses the text of a settings file; `file` is its name in errors.
///
/// # Errors
/// As [`read_settings_file`].
pub fn parse_settings_file(
    file: &str,
    text: &str,
    slow_start: SlowStart,
) -> Result<RouterSettings, YamlError> {
    parse_sections(&Document::parse(file, text, validator())?, slow_start)
}

fn parse_sections(document: &Document, slow_start: SlowStart) -> Result<RouterSettings, YamlError> {
    let File { hierarchy, carry, fleet } = document.deserialize()?;
    let snapshot_file = carry.map(|carry| SnapshotFile {
        path: carry.file,
        max_age: 1000.0 * carry.oldest_s.unwrap_or(DEFAULT_MAX_AGE_S),
    });
    let fleet = fleet.map(|file| parse_fleet(document, file)).transpose()?;
    let hierarchy = hierarchy.map(|file| parse_hierarchy(document, file, slow_start)).transpose()?;
    Ok(RouterSettings { hierarchy, snapshot_file, fleet })
}

#[cfg(test)]
mod tests;
