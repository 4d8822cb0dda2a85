//! Holds a page's figures against the tables, so that the two can't drift apart.
//!
//! A figure in the page is followed by a mark, which readers don't see: `12.5 MB/s<!--m: log_purges_sent routers=4300-->`. A mark names
//! - a point of the table: `FIGURE AXIS=X`;
//! - what a curve comes to where its axis is expected to be: `FIGURE AXIS~X`, refused if the curve is not to be reckoned with there;
//! - a curve's form or its largest residual: `FIGURE AXIS:form`, `FIGURE AXIS:residual`;
//! - a figure of real processes, a cell of `capacity-real.csv`: `real COLUMN run=RUN purges=RATE`; cells left blank are not known.
//!
//! The number before the mark counts as it is rounded there, with a word of size behind it (KB, MB, GB, %, million, ms). Without one it
//! counts in the figure's own unit.

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

const OPEN: &str = "<!--m:";
const CLOSE: &str = "-->";
/// Figures of real processes.
const REAL: &str = "capacity-real.csv";
/// Words of size, in bytes, microseconds and shares.
const SIZES: [(&str, f64); 6] =
    [("KB", 1e3), ("MB", 1e6), ("GB", 1e9), ("%", 0.01), ("million", 1e6), ("ms", 1e3)];
/// Round numbers are no licence: the zeros at the end of a whole one hide no more than this share of it.
const MOST: f64 = 0.025;

/// Units that are a word of size themselves: so much of one is in a figure of 1.
const UNITS: [(&str, f64); 3] = [("ms", 1e3), ("mb", 1e6), ("percent", 0.01)];
/// Columns of the real processes' table that are no numbers.
const WORDS: [&str; 1] = ["commit"];

/// What a mark stands for.
#[derive(Clone, Debug, PartialEq)]
enum Known {
    /// A value, and what of its words of size a figure of 1 is.
    Number(f64, f64),
    Word(String),
    /// A curve that is not to be reckoned with.
    Unsound,
}

/// A figure that does not agree.
#[derive(Clone, Debug, PartialEq)]
pub struct Off {
    /// Its line, from 1.
    pub line: usize,
    /// What is wrong with it.
    pub what: String,
}

impl fmt::Display for Off {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.what)
    }
}

/// What came of a page.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    /// Figures with a mark.
    pub figures: usize,
    /// Those that don't agree.
    pub off: Vec<Off>,
}

/// All that marks can name.
pub struct Tables(BTreeMap<String, Known>);

impl Tables {
    /// Reads a folder's `capacity.csv`, `capacity-fits.csv` and, if it is there, `capacity-real.csv`.
    pub fn read(dir: &Path) -> Result<Self, String> {
        let text = |name: &str| {
            let file = dir.join(name);
            std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))
        };
        let mut known = BTreeMap::new();
        let points = text("capacity.csv")?;
        let units = units(&points);
        for row in table(&points, &["axis", "x", "figure", "value"], "capacity.csv")? {
            let [axis, x, figure, value] = row;
            let size = units.get(&figure).copied().unwrap_or(1.0);
            let value = Known::Number(number(&value, "capacity.csv")?, size);
            known.insert(format!("{figure} {axis}={x}"), value);
        }
        let columns = ["axis", "figure", "form", "largest_residual", "reckon", "at", "value"];
        for row in table(&text("capacity-fits.csv")?, &columns, "capacity-fits.csv")? {
            let [axis, figure, form, residual, reckon, at, value] = row;
            let name = format!("{figure} {axis}");
            if form == "none" {
                continue;
            }
            let residual = number(&residual, "capacity-fits.csv")?;
            known.insert(format!("{name}:form"), Known::Word(form));
            known.insert(format!("{name}:residual"), Known::Number(residual, 1.0));
            if !at.is_empty() {
                let size = units.get(&figure).copied().unwrap_or(1.0);
                let value = match reckon.as_str() {
                    "yes" => Known::Number(number(&value, "capacity-fits.csv")?, size),
                    _ => Known::Unsound,
                };
                known.insert(format!("{name}~{at}"), value);
            }
        }
        if dir.join(REAL).exists() {
            real(&text(REAL)?, &mut known)?;
        }
        Ok(Self(known))
    }

    /// The names of a figure's own, for who mistyped one.
    fn like(&self, key: &str) -> String {
        let named = |key: &str| {
            let words = if key.starts_with("real ") { 2 } else { 1 };
            key.split(' ').take(words).collect::<Vec<_>>().join(" ")
        };
        let figure = named(key);
        let of = |k: &&String| named(k) == figure;
        let near: Vec<&str> = self.0.keys().filter(of).map(String::as_str).collect();
        if near.is_empty() {
            format!("no figure {figure:?}")
        } else {
            format!("known: {}", near.join(", "))
        }
    }
}

/// What of its words of size a figure of 1 is, where its unit is one.
fn units(points: &str) -> BTreeMap<String, f64> {
    let of = |unit: &str| UNITS.iter().find(|(u, _)| unit.split('/').next() == Some(u)).map(|u| u.1);
    // A table without units has figures without.
    let rows = table(points, &["figure", "unit"], "").unwrap_or_default();
    rows.into_iter().filter_map(|[figure, unit]| Some((figure, of(&unit)?))).collect()
}

/// The figures of real processes.
fn real(text: &str, known: &mut BTreeMap<String, Known>) -> Result<(), String> {
    let runs = table(text, &["run", "purges_per_s"], REAL)?;
    for (n, [run, purges]) in runs.iter().enumerate() {
        if runs[..n].iter().any(|r| r == &runs[n]) {
            return Err(format!("{REAL}: line {}: run {run} at {purges} purges a second again", n + 2));
        }
    }
    let head = text.lines().next().unwrap_or_default();
    for column in head.split(',').filter(|c| !WORDS.contains(c)) {
        let size = UNITS.iter().find(|(unit, _)| column.split('_').any(|part| part == *unit));
        let size = size.map_or(1.0, |s| s.1);
        for ([run, purges], [value]) in runs.iter().zip(table(text, &[column], REAL)?) {
            if !value.is_empty() {
                let value = number(&value, &format!("{REAL}: column {column}"))?;
                let key = format!("real {column} run={run} purges={purges}");
                known.insert(key, Known::Number(value, size));
            }
        }
    }
    Ok(())
}

/// The rows of a table, some columns of it.
fn table<const N: usize>(text: &str, columns: &[&str; N], file: &str) -> Result<Vec<[String; N]>, String> {
    let mut lines = text.lines();
    let head: Vec<&str> = lines.next().unwrap_or_default().split(',').collect();
    let at = |name: &&str| {
        head.iter().position(|h| h == name).ok_or_else(|| format!("{file}: no column {name:?}"))
    };
    let places = columns.iter().map(at).collect::<Result<Vec<usize>, String>>()?;
    let row = |(n, line): (usize, &str)| {
        let cells: Vec<&str> = line.split(',').collect();
        if cells.len() == head.len() {
            Ok(std::array::from_fn(|i| cells[places[i]].to_string()))
        } else {
            let (found, wanted) = (cells.len(), head.len());
            Err(format!("{file}: line {}: expected {wanted} cells, found {found}", n + 2))
        }
    };
    lines.enumerate().map(row).collect()
}

fn number(text: &str, file: &str) -> Result<f64, String> {
    text.parse().map_err(|_| format!("{file}: expected a number, found {text:?}"))
}

/// Every marked figure of a page against the tables.
pub fn hold(page: &str, tables: &Tables) -> Held {
    let mut held = Held { figures: 0, off: Vec::new() };
    for (n, line) in page.lines().enumerate() {
        let mut rest = line;
        while let Some((before, mark)) = rest.split_once(OPEN) {
            held.figures += 1;
            let Some((key, after)) = mark.split_once(CLOSE) else {
                held.off.push(Off { line: n + 1, what: "a mark without its end on the line".into() });
                break;
            };
            if let Err(what) = one(before, key.trim(), tables) {
                held.off.push(Off { line: n + 1, what });
            }
            rest = after;
        }
    }
    held
}

/// The figure at the end of this text.
fn one(before: &str, key: &str, tables: &Tables) -> Result<(), String> {
    match tables.0.get(key) {
        None => Err(format!("unknown mark {key:?}; {}", tables.like(key))),
        Some(Known::Unsound) => Err(format!("{key}: the curve is not to be reckoned with there")),
        Some(Known::Word(word)) if before.trim_end().ends_with(word.as_str()) => Ok(()),
        Some(Known::Word(word)) => Err(format!("{key} is {word:?}, the page says another")),
        Some(Known::Number(value, size)) => {
            let said =
                Said::last(before, *size).ok_or_else(|| format!("{key}: no number before the mark"))?;
            if said.agrees(*value) {
                Ok(())
            } else {
                Err(format!("{key} is {value}, the page says {}", said.value))
            }
        }
    }
}

/// A number as it is written.
struct Said {
    value: f64,
    /// Half of its last digit that counts.
    half: f64,
}

impl Said {
    /// The last number of a text, with its word of size; its unit is this much of such a word.
    fn last(text: &str, unit: f64) -> Option<Self> {
        let end = text.rfind(|c: char| c.is_ascii_digit())? + 1;
        let of_number = |c: char| c.is_ascii_digit() || c == ',' || c == '.';
        let from = text[..end].rfind(|c: char| !of_number(c)).map_or(0, |at| at + 1);
        // A letter's own bytes end where the number begins, or this would be no place between characters.
        let from = (from..end).find(|at| text.is_char_boundary(*at) && text[*at..].starts_with(of_number))?;
        let written: String = text[from..end].trim_start_matches([',', '.']).replace(',', "");
        let minus = if text[..from].ends_with('-') { -1.0 } else { 1.0 };
        let digits = written.split_once('.').map_or(0, |(_, d)| d.len());
        let zeros = if digits > 0 { 0 } else { written.len() - written.trim_end_matches('0').len() };
        let word = text[end..].trim_start();
        let size = SIZES.iter().find(|(w, _)| word.starts_with(w)).map_or(1.0, |s| s.1 / unit);
        let number = written.parse::<f64>().ok()?;
        let half = 10f64.powi(zeros as i32 - digits as i32) / 2.0;
        // A whole number's last zeros may stand for any digits, up to a share of it.
        let half = if zeros > 0 { half.min((MOST * number).max(0.5)) } else { half };
        Some(Self { value: minus * number * size, half: half * size })
    }

    /// It is the value, as rounded.
    fn agrees(&self, value: f64) -> bool {
        // What rounding loses of a number that ends in the middle between two is none of its fault.
        (self.value - value).abs() <= self.half * (1.0 + 1e-9)
    }
}
