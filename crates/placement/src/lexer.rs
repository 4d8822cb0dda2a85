//! Splits the text of rules into tokens.

use crate::diagnostic::{DraftDiagnostic, SourceSpan};
use logos::Logos;
use std::fmt;

#[derive(Logos, Clone, Copy, Debug, PartialEq)]
#[logos(skip r"[ \t\r\n]+")]
#[logos(skip(r"#[^\n]*", allow_greedy = true))]
pub(crate) enum Token<'a> {
    #[regex(r"[A-Za-z_][A-Za-z0-9_.\-]*")]
    Word(&'a str),
    #[regex(r#""[^"\n]*""#, |lex| lex.slice().trim_matches('"'))]
    Text(&'a str),
    #[regex(r"[0-9]+", |lex| lex.slice().parse::<u64>().ok())]
    #[regex(r"0x[0-9a-fA-F]+", |lex| u64::from_str_radix(&lex.slice()[2..], 16).ok())]
    Number(u64),
    #[token("{")]
    Open,
    #[token("}")]
    Close,
    #[token("(")]
    Left,
    #[token(")")]
    Right,
    #[token(",")]
    Comma,
    #[token("=")]
    Equal,
    #[token(">=")]
    AtLeast,
    #[token("<=")]
    AtMost,
    #[token(">")]
    Above,
    #[token("<")]
    Below,
    #[token("%")]
    Percent,
}

impl fmt::Display for Token<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Token::Word(word) => write!(f, "`{word}`"),
            Token::Text(text) => write!(f, "\"{text}\""),
            Token::Number(number) => write!(f, "{number}"),
            Token::Open => f.write_str("`{`"),
            Token::Close => f.write_str("`}`"),
            Token::Left => f.write_str("`(`"),
            Token::Right => f.write_str("`)`"),
            Token::Comma => f.write_str("`,`"),
            Token::Equal => f.write_str("`=`"),
            Token::AtLeast => f.write_str("`>=`"),
            Token::AtMost => f.write_str("`<=`"),
            Token::Above => f.write_str("`>`"),
            Token::Below => f.write_str("`<`"),
            Token::Percent => f.write_str("`%`"),
        }
    }
}

/// Largest depth of nested conditions, since the parser recurses at each level.
const MAX_NESTING: usize = 32;

/// Tokens with their bytes in the text.
pub(crate) type SpannedTokens<'a> = Vec<(Token<'a>, std::ops::Range<usize>)>;

/// The tokens of a file, and diagnostics of text that is no token.
pub(crate) fn tokens(file: usize, text: &str) -> (SpannedTokens<'_>, Vec<DraftDiagnostic>) {
    let (mut tokens, mut diagnostics) = (Vec::new(), Vec::new());
    let (mut open, mut negated) = (0usize, 0usize);
    for (token, range) in Token::lexer(text).spanned() {
        let span = SourceSpan { file, start: range.start, end: range.end };
        match token {
            Ok(token) => {
                match token {
                    Token::Left => open += 1,
                    Token::Right => open = open.saturating_sub(1),
                    Token::Word("not") => negated += 1,
                    _ => negated = 0,
                }
                if open + negated > MAX_NESTING {
                    let message = format!("conditions are nested deeper than {MAX_NESTING} levels");
                    let draft = DraftDiagnostic::at(span, message, "one level too deep");
                    diagnostics.push(draft.with_help("define a part of the condition as a set"));
                    return (Vec::new(), diagnostics);
                }
                tokens.push((token, range));
            }
            Err(()) => {
                let piece = text.get(range).unwrap_or_default();
                let (label, help) = match piece.chars().next() {
                    Some('0'..='9') => {
                        ("a number that is too large", "the largest number is 18446744073709551615")
                    }
                    Some('"') => ("a quoted name that does not end on its line", "add the closing \""),
                    _ => (
                        "characters that are not part of the language",
                        "write names with other characters in \"...\"",
                    ),
                };
                let draft = DraftDiagnostic::at(span, format!("{label}: {piece}"), label);
                diagnostics.push(draft.with_help(help));
            }
        }
    }
    (tokens, diagnostics)
}
