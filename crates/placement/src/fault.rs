//! What is wrong with the rules, shown where it stands.

use ariadne::{Config, IndexType, Label, Report, ReportKind};
use std::fmt;
use std::ops::Range;

/// A place in the rules: a file by its position in what was handed in, and bytes in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct At {
    /// The file's position.
    pub file: usize,
    /// First byte.
    pub start: usize,
    /// The byte after the last.
    pub end: usize,
}

/// A fault of the rules, or of what they ask of the inventory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The file; `inventory` or `rules` (all of them) where no line is at fault.
    pub file: String,
    /// Line, from 1 (0 where there is none).
    pub line: usize,
    /// Column in characters, from 1 (0 where there is none).
    pub column: usize,
    /// What is wrong.
    pub message: String,
    /// What was expected, or how to mend it.
    pub help: Option<String>,
    /// The places it concerns, the first one above all, each with a word on it.
    pub labels: Vec<(At, String)>,
}

/// A fault before its file's name and line are known.
#[derive(Clone, Debug)]
pub(crate) struct Found {
    /// Where it is when it has no place: "rules" or "inventory".
    pub whole: &'static str,
    pub message: String,
    pub help: Option<String>,
    pub labels: Vec<(At, String)>,
}

/// What is at fault where no line of the rules is.
pub(crate) const INVENTORY: &str = "inventory";

/// A fault at a place.
pub(crate) fn found(at: At, message: impl Into<String>, label: impl Into<String>) -> Found {
    Found { whole: INVENTORY, message: message.into(), help: None, labels: vec![(at, label.into())] }
}

impl Found {
    /// With advice.
    pub fn help(mut self, help: impl Into<String>) -> Self {
        self.help = Some(help.into());
        self
    }

    /// With a further place.
    pub fn also(mut self, at: At, label: impl Into<String>) -> Self {
        self.labels.push((at, label.into()));
        self
    }

    /// With a help if there is one.
    pub fn maybe(mut self, help: Option<String>) -> Self {
        self.help = help.or(self.help);
        self
    }

    /// With the file's name and the line and column of its first place.
    pub fn placed(self, files: &[(String, String)]) -> Fault {
        let at = self.labels.first().map(|l| l.0);
        let file = at.and_then(|at| files.get(at.file).map(|f| (f, at.start)));
        let (name, line, column) = match file {
            None => (self.whole.to_string(), 0, 0),
            Some(((name, text), start)) => {
                let (line, column) = line_column(text, start);
                (name.clone(), line, column)
            }
        };
        Fault { file: name, line, column, message: self.message, help: self.help, labels: self.labels }
    }
}

/// Line and column (in characters) of a byte, both from 1.
pub(crate) fn line_column(text: &str, byte: usize) -> (usize, usize) {
    let before = text.get(..byte).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().map_or(0, |l| l.chars().count()) + 1;
    (line, column)
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}: {}", self.file, self.message)?,
            _ => write!(f, "{}:{}:{}: {}", self.file, self.line, self.column, self.message)?,
        }
        self.help.iter().try_for_each(|h| write!(f, " ({h})"))
    }
}

impl std::error::Error for Fault {}

impl Fault {
    /// The fault with the lines it concerns, for people; with colours only if `colour`.
    pub fn render(&self, files: &[(String, String)], colour: bool) -> String {
        if self.labels.iter().any(|(at, _)| at.file >= files.len()) || self.labels.is_empty() {
            return format!("Error: {self}\n");
        }
        let span = |at: &At| -> (String, Range<usize>) {
            let (name, text) = &files[at.file];
            (name.clone(), at.start.min(text.len())..at.end.min(text.len()))
        };
        let config = Config::default().with_color(colour).with_index_type(IndexType::Byte);
        let mut report = Report::build(ReportKind::Error, span(&self.labels[0].0))
            .with_config(config)
            .with_message(&self.message);
        for (at, label) in &self.labels {
            report = report.with_label(Label::new(span(at)).with_message(label));
        }
        if let Some(help) = &self.help {
            report = report.with_help(help);
        }
        let mut out = Vec::new();
        let sources = ariadne::sources(files.iter().map(|(name, text)| (name.clone(), text.clone())));
        match report.finish().write(sources, &mut out) {
            Ok(()) => String::from_utf8_lossy(&out).lines().map(|l| format!("{}\n", l.trim_end())).collect(),
            Err(_) => format!("Error: {self}\n"),
        }
    }
}

/// The known word that an unknown one was most likely meant to be.
pub(crate) fn meant<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> Option<String> {
    /// Of 0 to 1; below that, words have too little in common.
    const LIKENESS: f64 = 0.8;
    let like = known.map(|k| (strsim::jaro_winkler(word, k), k)).filter(|(l, _)| *l >= LIKENESS);
    let best = like.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(a.1)));
    best.map(|(_, k)| format!("did you mean \"{k}\"?"))
}
