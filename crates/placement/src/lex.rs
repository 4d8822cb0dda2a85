//! Text to tokens.

use crate::fault::{found, At, Found};
use logos::Logos;
use std::fmt;

/// A token.
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
    Over,
    #[token("<")]
    Under,
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
            Token::Over => f.write_str("`>`"),
            Token::Under => f.write_str("`<`"),
            Token::Percent => f.write_str("`%`"),
        }
    }
}

/// The deepest that conditions may be nested: the parser calls itself for each level.
const MOST_NESTED: usize = 32;

/// The tokens of a file with their bytes, and what is no token.
pub(crate) fn tokens(file: usize, text: &str) -> (Vec<(Token<'_>, std::ops::Range<usize>)>, Vec<Found>) {
    let (mut tokens, mut faults) = (Vec::new(), Vec::new());
    let (mut open, mut negated) = (0usize, 0usize);
    for (token, span) in Token::lexer(text).spanned() {
        let at = At { file, start: span.start, end: span.end };
        match token {
            Ok(token) => {
                match token {
                    Token::Left => open += 1,
                    Token::Right => open = open.saturating_sub(1),
                    Token::Word("not") => negated += 1,
                    _ => negated = 0,
                }
                if open + negated > MOST_NESTED {
                    let what = format!("conditions are nested deeper than {MOST_NESTED}");
                    faults.push(found(at, what, "one level too deep").help("name a part of it as a set"));
                    return (Vec::new(), faults);
                }
                tokens.push((token, span));
            }
            Err(()) => {
                let piece = text.get(span).unwrap_or_default();
                let (what, help) = match piece.chars().next() {
                    Some('0'..='9') => ("a number that is too large", "numbers go to 18446744073709551615"),
                    Some('"') => ("a text that does not end on its line", "close it by \""),
                    _ => ("characters that mean nothing here", "names with other characters go in \"...\""),
                };
                faults.push(found(at, format!("{what}: {piece}"), what).help(help));
            }
        }
    }
    (tokens, faults)
}
