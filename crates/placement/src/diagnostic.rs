//! Errors of rules, shown with the lines that they concern.

use ariadne::{Config, IndexType, Label, Report, ReportKind};
use std::fmt;
use std::ops::Range;

/// A range of bytes in the text of rules.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceSpan {
    /// Index of the file among the compiled ones.
    pub file: usize,
    /// First byte.
    pub start: usize,
    /// The byte after the last one.
    pub end: usize,
}

/// An error of the rules, or of the inventory for which they are compiled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Name of the file; `inventory` or `rules` (all files) if the error is not at a certain line.
    pub file: String,
    /// Line, from 1; 0 if the error is not at a certain line.
    pub line: usize,
    /// Column in characters, from 1; 0 if the error is not at a certain line.
    pub column: usize,
    /// The error.
    pub message: String,
    /// What is expected, or how to correct the error.
    pub help: Option<String>,
    /// The text that the error concerns, the main place first, each with a note.
    pub labels: Vec<(SourceSpan, String)>,
}

/// A diagnostic whose file name, line and column are not known yet.
#[derive(Clone, Debug)]
pub(crate) struct DraftDiagnostic {
    /// Shown as the file if there is no label.
    pub fallback_file: &'static str,
    pub message: String,
    pub help: Option<String>,
    pub labels: Vec<(SourceSpan, String)>,
}

impl DraftDiagnostic {
    /// An error at a place.
    pub fn at(span: SourceSpan, message: impl Into<String>, label: impl Into<String>) -> Self {
        Self { labels: vec![(span, label.into())], ..Self::of_inventory(message) }
    }

    /// An error of the inventory, or without a single rule as its cause.
    pub fn of_inventory(message: impl Into<String>) -> Self {
        Self { fallback_file: "inventory", message: message.into(), help: None, labels: Vec::new() }
    }

    /// An error of all rules together.
    pub fn of_all_rules(message: impl Into<String>) -> Self {
        Self { fallback_file: "rules", ..Self::of_inventory(message) }
    }

    pub fn with_help(mut self, help: impl Into<String>) -> Self {
        self.help = Some(help.into());
        self
    }

    pub fn with_label(mut self, span: SourceSpan, label: impl Into<String>) -> Self {
        self.labels.push((span, label.into()));
        self
    }

    /// Replaces the help if there is another one.
    pub fn with_help_if_any(mut self, help: Option<String>) -> Self {
        self.help = help.or(self.help);
        self
    }

    /// Adds file name, line and column of the first label.
    pub fn locate(self, files: &[(String, String)]) -> Diagnostic {
        let span = self.labels.first().map(|l| l.0);
        let start = span.and_then(|span| files.get(span.file).map(|f| (f, span.start)));
        let (file, line, column) = match start {
            None => (self.fallback_file.to_string(), 0, 0),
            Some(((name, text), start)) => {
                let (line, column) = line_and_column(text, start);
                (name.clone(), line, column)
            }
        };
        Diagnostic { file, line, column, message: self.message, help: self.help, labels: self.labels }
    }
}

/// Line and column (in characters) of a byte, both from 1.
pub(crate) fn line_and_column(text: &str, byte: usize) -> (usize, usize) {
    let before = text.get(..byte).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().map_or(0, |l| l.chars().count()) + 1;
    (line, column)
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}: {}", self.file, self.message)?,
            _ => write!(f, "{}:{}:{}: {}", self.file, self.line, self.column, self.message)?,
        }
        self.help.iter().try_for_each(|h| write!(f, " ({h})"))
    }
}

impl std::error::Error for Diagnostic {}

impl Diagnostic {
    /// Several lines for people: the error with an excerpt of the rules. With colours only if `colour`.
    pub fn render(&self, files: &[(String, String)], colour: bool) -> String {
        if self.labels.iter().any(|(span, _)| span.file >= files.len()) || self.labels.is_empty() {
            return format!("Error: {self}\n");
        }
        let range = |span: &SourceSpan| -> (String, Range<usize>) {
            let (name, text) = &files[span.file];
            (name.clone(), span.start.min(text.len())..span.end.min(text.len()))
        };
        let config = Config::default().with_color(colour).with_index_type(IndexType::Byte);
        let mut report = Report::build(ReportKind::Error, range(&self.labels[0].0))
            .with_config(config)
            .with_message(&self.message);
        for (span, label) in &self.labels {
            report = report.with_label(Label::new(range(span)).with_message(label));
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

/// Help that suggests the known word most similar to `word`, if one is similar enough.
pub(crate) fn suggestion<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> Option<String> {
    /// Jaro-Winkler similarity, from 0 to 1; words below it have too little in common.
    const MIN_SIMILARITY: f64 = 0.8;
    let similar = known.map(|k| (strsim::jaro_winkler(word, k), k)).filter(|(s, _)| *s >= MIN_SIMILARITY);
    let best = similar.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(a.1)));
    best.map(|(_, k)| format!("did you mean \"{k}\"?"))
}
