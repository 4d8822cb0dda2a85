//! Parses the tokens of a file into rules.

use crate::ast::{
    Comparison, Condition, DomainPart, EntryKind, GatherClause, HomeClause, HomeSelector, MissingParts, Name,
    OperandKind, ReplicaClause, Rule, ShareOf, Spanned, Spread,
};
use crate::diagnostic::{suggestion, DraftDiagnostic, SourceSpan};
use crate::lexer::{tokens, Token};
use chumsky::error::{RichPattern, RichReason};
use chumsky::input::{MapExtra, ValueInput};
use chumsky::prelude::*;

/// Errors with what was expected; the state is the index of the file.
type Extra<'a> = extra::Full<Rich<'a, Token<'a>>, extra::SimpleState<usize>, ()>;

/// Keywords that begin a rule. After an error, parsing continues at the next one.
const RULE_KEYWORDS: [&str; 7] = ["domain", "set", "holds", "root", "home", "never", "gather"];

fn source_span(file: usize, span: SimpleSpan) -> SourceSpan {
    SourceSpan { file, start: span.start, end: span.end }
}

/// For `map_with`: the output of a parser with its position.
fn spanned<'a, I: ValueInput<'a, Token = Token<'a>, Span = SimpleSpan>, T>(
    node: T,
    extra: &mut MapExtra<'a, '_, I, Extra<'a>>,
) -> Spanned<T> {
    let span = extra.span();
    Spanned { node, span: source_span(**extra.state(), span) }
}

fn keyword<'a, I: ValueInput<'a, Token = Token<'a>, Span = SimpleSpan>>(
    word: &'static str,
) -> impl Parser<'a, I, (), Extra<'a>> + Clone {
    just(Token::Word(word)).ignored()
}

/// The keyword that begins a rule, as its position.
fn rule_keyword<'a, I: ValueInput<'a, Token = Token<'a>, Span = SimpleSpan>>(
    word: &'static str,
) -> impl Parser<'a, I, SourceSpan, Extra<'a>> + Clone {
    keyword(word).map_with(|(), e| spanned((), e).span)
}

fn name<'a, I: ValueInput<'a, Token = Token<'a>, Span = SimpleSpan>>(
) -> impl Parser<'a, I, Name, Extra<'a>> + Clone {
    select! { Token::Word(w) => w.to_string(), Token::Text(t) => t.to_string() }
        .labelled("a name")
        .map_with(spanned)
}

fn names<'a, I: ValueInput<'a, Token = Token<'a>, Span = SimpleSpan>>(
) -> impl Parser<'a, I, Vec<Name>, Extra<'a>> + Clone {
    name().separated_by(just(Token::Comma)).at_least(1).collect()
}

fn number<'a, I: ValueInput<'a, Token = Token<'a>, Span = SimpleSpan>>(
) -> impl Parser<'a, I, u64, Extra<'a>> + Clone {
    select! { Token::Number(n) => n }.labelled("a whole number")
}

fn numbers<'a, I: ValueInput<'a, Token = Token<'a>, Span = SimpleSpan>>(
) -> impl Parser<'a, I, Vec<Spanned<u64>>, Extra<'a>> + Clone {
    number().map_with(spanned).separated_by(just(Token::Comma)).at_least(1).collect()
}

fn condition<'a, I: ValueInput<'a, Token = Token<'a>, Span = SimpleSpan>>(
) -> impl Parser<'a, I, Condition, Extra<'a>> + Clone {
    recursive(|condition| {
        let comparison = select! {
            Token::Equal => Comparison::Equal, Token::AtLeast => Comparison::AtLeast, Token::AtMost => Comparison::AtMost,
            Token::Above => Comparison::Above, Token::Below => Comparison::Below,
        }
        .labelled("a comparison");
        let attribute = select! { Token::Word(w) if w != "not" && w != "in" => w.to_string() }
            .labelled("an attribute")
            .map_with(spanned);
        let compare = attribute
            .then(comparison)
            .then(number())
            .map(|((attribute, comparison), number)| Condition::Compare { attribute, comparison, number });
        let is = attribute
            .then_ignore(keyword("is").or_not())
            .then(names())
            .map(|(attribute, values)| Condition::Is { attribute, values });
        let within = keyword("in").ignore_then(name()).map(Condition::In);
        let nested = condition.delimited_by(just(Token::Left), just(Token::Right));
        let operand = choice((within, compare, is, nested));
        let negation = recursive(|negation| {
            keyword("not").ignore_then(negation).map(|c| Condition::Not(Box::new(c))).or(operand)
        });
        let conjunction = negation.separated_by(keyword("and")).at_least(1).collect().map(Condition::And);
        conjunction.separated_by(keyword("or")).at_least(1).collect().map(Condition::Or)
    })
}

/// Clauses in braces.
fn clauses<'a, I: ValueInput<'a, Token = Token<'a>, Span = SimpleSpan>, T>(
    clause: impl Parser<'a, I, T, Extra<'a>> + Clone,
) -> impl Parser<'a, I, Vec<Spanned<T>>, Extra<'a>> + Clone {
    clause.map_with(spanned).repeated().collect().delimited_by(just(Token::Open), just(Token::Close))
}

fn replica_clause<'a, I: ValueInput<'a, Token = Token<'a>, Span = SimpleSpan>>(
) -> impl Parser<'a, I, ReplicaClause, Extra<'a>> + Clone {
    let over = choice((keyword("branches").to(Spread::Branches), keyword("machines").to(Spread::Machines)));
    let at_most =
        keyword("at").ignore_then(keyword("most")).ignore_then(number()).then_ignore(keyword("each"));
    choice((
        keyword("shards").ignore_then(number()).map(ReplicaClause::Shards),
        keyword("copies").ignore_then(number()).map(ReplicaClause::Copies),
        keyword("spread")
            .ignore_then(over)
            .then(at_most.or_not())
            .map(|(over, at_most)| ReplicaClause::Spread { over, at_most }),
        keyword("from").ignore_then(names()).map(ReplicaClause::From),
        keyword("prefer").ignore_then(names()).map(ReplicaClause::Prefer),
        keyword("room")
            .ignore_then(number())
            .then_ignore(keyword("per"))
            .then_ignore(keyword("shard"))
            .map(ReplicaClause::Room),
        keyword("pace")
            .ignore_then(number())
            .then_ignore(keyword("per"))
            .then_ignore(keyword("step"))
            .map(ReplicaClause::Pace),
    ))
}

fn home_rule<'a, I: ValueInput<'a, Token = Token<'a>, Span = SimpleSpan>>(
) -> impl Parser<'a, I, Rule, Extra<'a>> + Clone {
    let selector = choice((
        keyword("class").ignore_then(names()).map(HomeSelector::Class),
        keyword("group").ignore_then(numbers()).map(HomeSelector::Group),
        keyword("pin").ignore_then(numbers()).map(HomeSelector::Pin),
    ));
    let clause = choice((
        keyword("serve").ignore_then(keyword("in")).ignore_then(names()).map(HomeClause::Serve),
        keyword("keep").ignore_then(keyword("in")).ignore_then(names()).map(HomeClause::Keep),
        keyword("fill").ignore_then(keyword("from")).ignore_then(names()).map(HomeClause::Fill),
        keyword("only").ignore_then(keyword("in")).ignore_then(name()).map(HomeClause::Only),
        keyword("prefer").ignore_then(names()).map(HomeClause::Prefer),
        keyword("width").ignore_then(number()).map(HomeClause::Width),
        keyword("else").ignore_then(keyword("any")).map(|()| HomeClause::ElseAny),
    ));
    let selectors = selector.map_with(spanned).repeated().collect();
    rule_keyword("home")
        .then(selectors)
        .then(clauses(clause))
        .map(|((span, selectors), clauses)| Rule::Home { span, selectors, clauses })
}

fn gather_rule<'a, I: ValueInput<'a, Token = Token<'a>, Span = SimpleSpan>>(
) -> impl Parser<'a, I, Rule, Extra<'a>> + Clone {
    let of = choice((
        keyword("of").ignore_then(keyword("parts")).to(ShareOf::Parts),
        keyword("of").ignore_then(keyword("worth")).to(ShareOf::Weight),
    ));
    let share = number().map_with(spanned).then_ignore(just(Token::Percent)).then(of.map_with(spanned));
    let shares = share.separated_by(just(Token::Comma)).at_least(1).collect();
    let missing = choice((
        keyword("owed").to(MissingParts::Continuation),
        keyword("dropped").to(MissingParts::Omitted),
        keyword("refused").to(MissingParts::NotAllowed),
    ));
    let yes = choice((keyword("yes").to(true), keyword("no").to(false)));
    let clause = choice((
        keyword("needs").ignore_then(numbers()).map(GatherClause::Needs),
        keyword("at").ignore_then(keyword("least")).ignore_then(shares).map(GatherClause::AtLeast),
        keyword("wait").ignore_then(number()).then_ignore(keyword("ms")).map(GatherClause::WaitMs),
        keyword("missing").ignore_then(missing).map(GatherClause::MissingParts),
        keyword("second").ignore_then(keyword("copies")).ignore_then(yes).map(GatherClause::Hedging),
    ));
    rule_keyword("gather")
        .then_ignore(keyword("class"))
        .then(names())
        .then(clauses(clause))
        .map(|((span, classes), clauses)| Rule::Gather { span, classes, clauses })
}

fn rule<'a, I: ValueInput<'a, Token = Token<'a>, Span = SimpleSpan>>(
) -> impl Parser<'a, I, Rule, Extra<'a>> + Clone {
    let part = choice((
        keyword("branch").to(DomainPart::Branch),
        keyword("machine").to(DomainPart::Machine),
        keyword("zone").to(DomainPart::Zone),
    ));
    let parts = part.map_with(spanned).then(names()).repeated().collect();
    let domain = keyword("domain")
        .ignore_then(name())
        .then(parts.delimited_by(just(Token::Open), just(Token::Close)))
        .map(|(name, parts)| Rule::Domain { name, parts });
    let kind = choice((
        keyword("routers").to(EntryKind::Routers),
        keyword("caches").to(EntryKind::Caches),
        keyword("parents").to(EntryKind::Parents),
    ));
    let set = keyword("set")
        .ignore_then(name())
        .then_ignore(just(Token::Equal))
        .then(kind.map_with(spanned))
        .then(keyword("where").ignore_then(condition()).or_not())
        .map(|((name, kind), condition)| Rule::Set { name, kind, condition });
    let holds = rule_keyword("holds")
        .then(clauses(replica_clause()))
        .map(|(span, clauses)| Rule::Holds { span, clauses });
    let root = rule_keyword("root")
        .then(clauses(replica_clause()))
        .map(|(span, clauses)| Rule::Root { span, clauses });
    let operand_kind = choice((
        keyword("router").to(OperandKind::Router),
        keyword("machine").to(OperandKind::Machine),
        keyword("branch").to(OperandKind::Branch),
        keyword("set").to(OperandKind::Set),
    ));
    let operands =
        operand_kind.map_with(spanned).then(name()).separated_by(just(Token::Comma)).at_least(1).collect();
    let never_together = rule_keyword("never")
        .then_ignore(keyword("together"))
        .then(operands)
        .map(|(span, operands): (SourceSpan, Vec<_>)| Rule::NeverTogether { span, operands });
    choice((domain, set, holds, root, home_rule(), never_together, gather_rule()))
}

fn rules<'a, I: ValueInput<'a, Token = Token<'a>, Span = SimpleSpan>>(
) -> impl Parser<'a, I, Vec<Rule>, Extra<'a>> {
    let rule_start = select! { Token::Word(w) if RULE_KEYWORDS.contains(&w) => () };
    let rest = any().and_is(rule_start.not()).repeated();
    let unparsed = any().then(rest).to(Rule::Unparsed);
    rule().recover_with(via_parser(unparsed)).repeated().collect().then_ignore(end())
}

/// Converts an error of the grammar: what was found, what is expected, and a suggestion.
fn grammar_diagnostic(file: usize, error: &Rich<'_, Token<'_>>) -> DraftDiagnostic {
    let span = source_span(file, *error.span());
    let (patterns, found) = match error.reason() {
        RichReason::ExpectedFound { expected, found } => (expected.as_slice(), found.as_ref().map(|t| **t)),
        RichReason::Custom(message) => return DraftDiagnostic::at(span, message.clone(), "here"),
    };
    let mut keywords = Vec::new();
    let mut expected: Vec<String> = Vec::new();
    for pattern in patterns {
        match pattern {
            RichPattern::Token(token) => {
                if let Token::Word(word) = **token {
                    keywords.push(word);
                }
                expected.push(token.to_string());
            }
            RichPattern::Label(label) => expected.push(label.to_string()),
            RichPattern::Identifier(word) => expected.push(word.clone()),
            RichPattern::EndOfInput => expected.push("the end of the file".into()),
            RichPattern::Any | RichPattern::SomethingElse => keywords.extend(RULE_KEYWORDS),
        }
    }
    if expected.is_empty() {
        expected.extend(keywords.iter().map(|w| format!("`{w}`")));
    }
    expected.sort_unstable();
    expected.dedup();
    let found_text = found.map_or_else(|| "the end of the file".to_string(), |t| t.to_string());
    let help = match found {
        Some(Token::Word(word)) => suggestion(word, keywords.iter().copied()),
        Some(_) | None => None,
    };
    let message = format!("expected {}, found {found_text}", expected.join(", "));
    DraftDiagnostic::at(span, message, "not expected here").with_help_if_any(help)
}

/// The rules of a file, and the diagnostics of its tokens and grammar.
pub(crate) fn parse(file: usize, text: &str) -> (Vec<Rule>, Vec<DraftDiagnostic>) {
    let (tokens, mut diagnostics) = tokens(file, text);
    if !diagnostics.is_empty() {
        return (Vec::new(), diagnostics);
    }
    let tokens: Vec<(Token<'_>, SimpleSpan)> = tokens.into_iter().map(|(t, s)| (t, s.into())).collect();
    let end: SimpleSpan = (text.len()..text.len()).into();
    let mut state = extra::SimpleState(file);
    let input = tokens.as_slice().map(end, |(t, s)| (t, s));
    let (rules, errors) = rules().parse_with_state(input, &mut state).into_output_errors();
    diagnostics.extend(errors.iter().map(|e| grammar_diagnostic(file, e)));
    (rules.unwrap_or_default(), diagnostics)
}
