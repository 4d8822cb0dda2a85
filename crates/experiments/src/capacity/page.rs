//! Compares the figures of a page with the tables, so that the two cannot diverge.
//!
//! A figure in the page is followed by a mark, which is invisible to readers: `12.5 MB/s<!--m: log_purges_sent routers=4300-->`. A mark names
//! - a point of the table: `FIGURE AXIS=X`;
//! - the value of a curve at the expected position X: `FIGURE AXIS~X`, rejected if the curve is unreliable there;
//! - the form of a curve or its largest residual: `FIGURE AXIS:form`, `FIGURE AXIS:residual`;
//! - a figure of router processes, a cell of `capacity-real.csv`: `real COLUMN run=RUN purges=RATE`; empty cells are unknown.
//!
//! The number before the mark may be rounded, and may be followed by a scale (KB, MB, GB, %, million, ms). Without a scale it is in the unit of
//! the figure.

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

const MARK_START: &str = "<!--m:";
const MARK_END: &str = "-->";
/// The table of all points.
const POINTS_FILE: &str = "capacity.csv";
/// The table of the curves.
const FITS_FILE: &str = "capacity-fits.csv";
/// The table of figures of router processes.
const PROCESSES_FILE: &str = "capacity-real.csv";
/// Scales that may follow a number, in bytes, microseconds and shares.
const SCALES: [(&str, f64); 6] =
    [("KB", 1e3), ("MB", 1e6), ("GB", 1e9), ("%", 0.01), ("million", 1e6), ("ms", 1e3)];
/// The largest share of a whole number that the zeros at its end may hide, so that round numbers do not agree with everything.
const MAX_ROUNDING_SHARE: f64 = 0.025;
/// Units of figures that are scales themselves, with their factor.
const SCALED_UNITS: [(&str, f64); 3] = [("ms", 1e3), ("mb", 1e6), ("percent", 0.01)];
/// Columns of [`PROCESSES_FILE`] that are not numbers.
const TEXT_COLUMNS: [&str; 1] = ["commit"];

/// What a mark refers to.
#[derive(Clone, Debug, PartialEq)]
enum Entry {
    /// A number.
    Number {
        /// The value in the unit of the figure.
        value: f64,
        /// The factor of the unit in terms of [`SCALES`], 1 for a unit that is no scale.
        unit_factor: f64,
    },
    /// A word, which has to stand before the mark.
    Word(String),
    /// The value of an unreliable curve.
    Unreliable,
}

/// A figure that does not agree with the tables.
#[derive(Clone, Debug, PartialEq)]
pub struct Mismatch {
    /// The line of the page, from 1.
    pub line: usize,
    /// What is wrong with the figure.
    pub reason: String,
}

impl fmt::Display for Mismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.reason)
    }
}

/// The result of the check of a page.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PageCheck {
    /// The number of figures with a mark.
    pub figures: usize,
    /// Those that do not agree.
    pub mismatches: Vec<Mismatch>,
}

/// All entries that marks can name.
pub struct Tables(BTreeMap<String, Entry>);

impl Tables {
    /// Reads `capacity.csv`, `capacity-fits.csv` and, if it exists, `capacity-real.csv` of a directory.
    pub fn read(dir: &Path) -> Result<Self, String> {
        let text = |name: &str| {
            let file = dir.join(name);
            std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))
        };
        let mut entries = BTreeMap::new();
        let points = text(POINTS_FILE)?;
        let unit_factors = unit_factors(&points);
        add_points(&points, &unit_factors, &mut entries)?;
        add_curves(&text(FITS_FILE)?, &unit_factors, &mut entries)?;
        if dir.join(PROCESSES_FILE).exists() {
            add_processes(&text(PROCESSES_FILE)?, &mut entries)?;
        }
        Ok(Self(entries))
    }

    /// Lists the known entries of the figure that a wrong mark names.
    fn suggestions(&self, key: &str) -> String {
        let figure_name = |key: &str| {
            let words = if key.starts_with("real ") { 2 } else { 1 };
            key.split(' ').take(words).collect::<Vec<_>>().join(" ")
        };
        let figure = figure_name(key);
        let same_figure = |known: &&String| figure_name(known) == figure;
        let known: Vec<&str> = self.0.keys().filter(same_figure).map(String::as_str).collect();
        if known.is_empty() {
            format!("no figure {figure:?}")
        } else {
            format!("known: {}", known.join(", "))
        }
    }
}

/// Returns the factors of figures whose unit is a scale itself.
fn unit_factors(points: &str) -> BTreeMap<String, f64> {
    let factor = |unit: &str| {
        let base = unit.split('/').next();
        SCALED_UNITS.iter().find(|(scaled, _)| base == Some(scaled)).map(|scaled| scaled.1)
    };
    // A table without the column `unit` is allowed; its figures have no factor.
    let rows = read_columns(points, &["figure", "unit"], "").unwrap_or_default();
    rows.into_iter().filter_map(|[figure, unit]| Some((figure, factor(&unit)?))).collect()
}

/// Adds the entries of the table of all points.
fn add_points(
    text: &str,
    unit_factors: &BTreeMap<String, f64>,
    entries: &mut BTreeMap<String, Entry>,
) -> Result<(), String> {
    for [axis, x, figure, value] in read_columns(text, &["axis", "x", "figure", "value"], POINTS_FILE)? {
        let unit_factor = unit_factors.get(&figure).copied().unwrap_or(1.0);
        let value = parse_number(&value, POINTS_FILE)?;
        entries.insert(format!("{figure} {axis}={x}"), Entry::Number { value, unit_factor });
    }
    Ok(())
}

/// Adds the entries of the table of the curves: the form, the residual, and the value at the expected position.
fn add_curves(
    text: &str,
    unit_factors: &BTreeMap<String, f64>,
    entries: &mut BTreeMap<String, Entry>,
) -> Result<(), String> {
    let columns = ["axis", "figure", "form", "largest_residual", "reckon", "at", "value"];
    for [axis, figure, form, residual, reliable, at, value] in read_columns(text, &columns, FITS_FILE)? {
        let name = format!("{figure} {axis}");
        if form == "none" {
            continue;
        }
        let residual = parse_number(&residual, FITS_FILE)?;
        entries.insert(format!("{name}:form"), Entry::Word(form));
        entries.insert(format!("{name}:residual"), Entry::Number { value: residual, unit_factor: 1.0 });
        if !at.is_empty() {
            let unit_factor = unit_factors.get(&figure).copied().unwrap_or(1.0);
            let entry = match reliable.as_str() {
                "yes" => Entry::Number { value: parse_number(&value, FITS_FILE)?, unit_factor },
                _ => Entry::Unreliable,
            };
            entries.insert(format!("{name}~{at}"), entry);
        }
    }
    Ok(())
}

/// Adds the entries of the table of router processes.
///
/// # Errors
/// If a run has two rows for one rate of purges, so that a mark would be ambiguous.
fn add_processes(text: &str, entries: &mut BTreeMap<String, Entry>) -> Result<(), String> {
    let runs = read_columns(text, &["run", "purges_per_s"], PROCESSES_FILE)?;
    for (n, [run, purges]) in runs.iter().enumerate() {
        if runs[..n].iter().any(|earlier| earlier == &runs[n]) {
            let line = n + 2;
            return Err(format!(
                "{PROCESSES_FILE}: line {line}: run {run} at {purges} purges a second again"
            ));
        }
    }
    let header = text.lines().next().unwrap_or_default();
    for column in header.split(',').filter(|column| !TEXT_COLUMNS.contains(column)) {
        let scaled = SCALED_UNITS.iter().find(|(unit, _)| column.split('_').any(|part| part == *unit));
        let unit_factor = scaled.map_or(1.0, |scaled| scaled.1);
        for ([run, purges], [cell]) in runs.iter().zip(read_columns(text, &[column], PROCESSES_FILE)?) {
            if !cell.is_empty() {
                let value = parse_number(&cell, &format!("{PROCESSES_FILE}: column {column}"))?;
                let key = format!("real {column} run={run} purges={purges}");
                entries.insert(key, Entry::Number { value, unit_factor });
            }
        }
    }
    Ok(())
}

/// Reads these columns of a table, row by row.
fn read_columns<const N: usize>(
    text: &str,
    columns: &[&str; N],
    file: &str,
) -> Result<Vec<[String; N]>, String> {
    let mut lines = text.lines();
    let header: Vec<&str> = lines.next().unwrap_or_default().split(',').collect();
    let position = |name: &&str| {
        header.iter().position(|h| h == name).ok_or_else(|| format!("{file}: no column {name:?}"))
    };
    let positions = columns.iter().map(position).collect::<Result<Vec<usize>, String>>()?;
    let row = |(n, line): (usize, &str)| {
        let cells: Vec<&str> = line.split(',').collect();
        if cells.len() == header.len() {
            Ok(std::array::from_fn(|i| cells[positions[i]].to_string()))
        } else {
            let (found, expected) = (cells.len(), header.len());
            Err(format!("{file}: line {}: expected {expected} cells, found {found}", n + 2))
        }
    };
    lines.enumerate().map(row).collect()
}

fn parse_number(text: &str, file: &str) -> Result<f64, String> {
    text.parse().map_err(|_| format!("{file}: expected a number, found {text:?}"))
}

/// Compares all marked figures of a page with the tables.
pub fn check(page: &str, tables: &Tables) -> PageCheck {
    let mut check = PageCheck::default();
    for (n, line) in page.lines().enumerate() {
        let mut rest = line;
        while let Some((before, mark)) = rest.split_once(MARK_START) {
            check.figures += 1;
            let Some((key, after)) = mark.split_once(MARK_END) else {
                let reason = "a mark without its end on the line".into();
                check.mismatches.push(Mismatch { line: n + 1, reason });
                break;
            };
            if let Err(reason) = check_figure(before, key.trim(), tables) {
                check.mismatches.push(Mismatch { line: n + 1, reason });
            }
            rest = after;
        }
    }
    check
}

/// Compares the figure at the end of this text with the entry of its mark.
fn check_figure(before: &str, key: &str, tables: &Tables) -> Result<(), String> {
    match tables.0.get(key) {
        None => Err(format!("unknown mark {key:?}; {}", tables.suggestions(key))),
        Some(Entry::Unreliable) => Err(format!("{key}: the curve is not to be reckoned with there")),
        Some(Entry::Word(word)) if before.trim_end().ends_with(word.as_str()) => Ok(()),
        Some(Entry::Word(word)) => Err(format!("{key} is {word:?}, the page says another word")),
        Some(Entry::Number { value, unit_factor }) => {
            let written = WrittenNumber::last_in(before, *unit_factor)
                .ok_or_else(|| format!("{key}: no number before the mark"))?;
            if written.agrees_with(*value) {
                Ok(())
            } else {
                Err(format!("{key} is {value}, the page says {}", written.value))
            }
        }
    }
}

/// A number as the page has it.
struct WrittenNumber {
    /// The number in the unit of the figure.
    value: f64,
    /// The largest difference from the value: half a unit of the last significant digit.
    tolerance: f64,
}

impl WrittenNumber {
    /// Returns the last number of a text with its scale; `unit_factor` is the factor of the figure's unit in terms of [`SCALES`].
    fn last_in(text: &str, unit_factor: f64) -> Option<Self> {
        let end = text.rfind(|c: char| c.is_ascii_digit())? + 1;
        let in_number = |c: char| c.is_ascii_digit() || c == ',' || c == '.';
        let from = text[..end].rfind(|c: char| !in_number(c)).map_or(0, |at| at + 1);
        // The character before the number may have several bytes: skip to a character boundary.
        let from = (from..end).find(|at| text.is_char_boundary(*at) && text[*at..].starts_with(in_number))?;
        let digits: String = text[from..end].trim_start_matches([',', '.']).replace(',', "");
        let sign = if text[..from].ends_with('-') { -1.0 } else { 1.0 };
        let decimals = digits.split_once('.').map_or(0, |(_, decimals)| decimals.len());
        let zeros = if decimals > 0 { 0 } else { digits.len() - digits.trim_end_matches('0').len() };
        let after = text[end..].trim_start();
        let scale = SCALES.iter().find(|(name, _)| after.starts_with(name));
        let factor = scale.map_or(1.0, |scale| scale.1 / unit_factor);
        let number = digits.parse::<f64>().ok()?;
        let half_digit = 10f64.powi(zeros as i32 - decimals as i32) / 2.0;
        // The zeros at the end of a whole number may stand for any digits, up to a share of the number.
        let tolerance = match zeros > 0 {
            true => half_digit.min((MAX_ROUNDING_SHARE * number).max(0.5)),
            false => half_digit,
        };
        Some(Self { value: sign * number * factor, tolerance: tolerance * factor })
    }

    /// Whether the number is this value, rounded.
    fn agrees_with(&self, value: f64) -> bool {
        // Allows for floating-point error of values exactly between two roundings.
        (self.value - value).abs() <= self.tolerance * (1.0 + 1e-9)
    }
}
