//! Tokens to rules.

use crate::ast::{
    Bound, Cond, Head, Item, Keep, Missing, Name, Of, Op, Part, Share, Sp, Spread, Thing, Wait,
};
use crate::fault::{found, meant, At, Found};
use crate::lex::{tokens, Token};
use chumsky::error::{RichPattern, RichReason};
use chumsky::input::{MapExtra, ValueInput};
use chumsky::prelude::*;

type Fails<'a> = extra::Full<Rich<'a, Token<'a>>, extra::SimpleState<usize>, ()>;

/// Words that begin a rule: reading goes on at the next of them after a fault.
const FIRST: [&str; 7] = ["domain", "set", "holds", "root", "home", "never", "gather"];

fn at(file: usize, span: SimpleSpan) -> At {
    At { file, start: span.start, end: span.end }
}

/// A parser's result with its place.
fn sp<'a, I: ValueInput<'a, Token = Token<'a>, Span = SimpleSpan>, T>(
    it: T,
    e: &mut MapExtra<'a, '_, I, Fails<'a>>,
) -> Sp<T> {
    let span = e.span();
    Sp { it, at: at(**e.state(), span) }
}

fn word<'a, I: ValueInput<'a, Token = Token<'a>, Span = SimpleSpan>>(
    word: &'static str,
) -> impl Parser<'a, I, (), Fails<'a>> + Clone {
    just(Token::Word(word)).ignored()
}

fn name<'a, I: ValueInput<'a, Token = Token<'a>, Span = SimpleSpan>>(
) -> impl Parser<'a, I, Name, Fails<'a>> + Clone {
    select! { Token::Word(w) => w.to_string(), Token::Text(t) => t.to_string() }
        .labelled("a name")
        .map_with(sp)
}

fn names<'a, I: ValueInput<'a, Token = Token<'a>, Span = SimpleSpan>>(
) -> impl Parser<'a, I, Vec<Name>, Fails<'a>> + Clone {
    name().separated_by(just(Token::Comma)).at_least(1).collect()
}

fn number<'a, I: ValueInput<'a, Token = Token<'a>, Span = SimpleSpan>>(
) -> impl Parser<'a, I, u64, Fails<'a>> + Clone {
    select! { Token::Number(n) => n }.labelled("a whole number")
}

fn numbers<'a, I: ValueInput<'a, Token = Token<'a>, Span = SimpleSpan>>(
) -> impl Parser<'a, I, Vec<Sp<u64>>, Fails<'a>> + Clone {
    number().map_with(sp).separated_by(just(Token::Comma)).at_least(1).collect()
}

fn condition<'a, I: ValueInput<'a, Token = Token<'a>, Span = SimpleSpan>>(
) -> impl Parser<'a, I, Cond, Fails<'a>> + Clone {
    recursive(|condition| {
        let op = select! {
            Token::Equal => Op::Equal, Token::AtLeast => Op::AtLeast, Token::AtMost => Op::AtMost,
            Token::Over => Op::Over, Token::Under => Op::Under,
        }
        .labelled("a comparison");
        let attribute = select! { Token::Word(w) if w != "not" && w != "in" => w.to_string() }
            .labelled("an attribute")
            .map_with(sp);
        let compare = attribute.then(op).then(number()).map(|((a, op), n)| Cond::Compare(a, op, n));
        let is = attribute.then_ignore(word("is").or_not()).then(names()).map(|(a, v)| Cond::Is(a, v));
        let within = word("in").ignore_then(name()).map(Cond::In);
        let inner = condition.delimited_by(just(Token::Left), just(Token::Right));
        let single = choice((within, compare, is, inner));
        let maybe_not = recursive(|maybe_not| {
            word("not").ignore_then(maybe_not).map(|c| Cond::Not(Box::new(c))).or(single)
        });
        let all = maybe_not.separated_by(word("and")).at_least(1).collect().map(Cond::And);
        all.separated_by(word("or")).at_least(1).collect().map(Cond::Or)
    })
}

/// Clauses in braces.
fn body<'a, I: ValueInput<'a, Token = Token<'a>, Span = SimpleSpan>, T>(
    clause: impl Parser<'a, I, T, Fails<'a>> + Clone,
) -> impl Parser<'a, I, Vec<Sp<T>>, Fails<'a>> + Clone {
    clause.map_with(sp).repeated().collect().delimited_by(just(Token::Open), just(Token::Close))
}

fn keep<'a, I: ValueInput<'a, Token = Token<'a>, Span = SimpleSpan>>(
) -> impl Parser<'a, I, Keep, Fails<'a>> + Clone {
    let over = choice((word("branches").to(Spread::Branches), word("machines").to(Spread::Machines)));
    let each = word("at").ignore_then(word("most")).ignore_then(number()).then_ignore(word("each"));
    choice((
        word("shards").ignore_then(number()).map(Keep::Shards),
        word("copies").ignore_then(number()).map(Keep::Copies),
        word("spread").ignore_then(over).then(each.or_not()).map(|(o, n)| Keep::Spread(o, n)),
        word("from").ignore_then(names()).map(Keep::From),
        word("prefer").ignore_then(names()).map(Keep::Prefer),
        word("room")
            .ignore_then(number())
            .then_ignore(word("per"))
            .then_ignore(word("shard"))
            .map(Keep::Room),
        word("pace").ignore_then(number()).then_ignore(word("per")).then_ignore(word("step")).map(Keep::Pace),
    ))
}

fn home<'a, I: ValueInput<'a, Token = Token<'a>, Span = SimpleSpan>>(
) -> impl Parser<'a, I, Item, Fails<'a>> + Clone {
    let head = choice((
        word("class").ignore_then(names()).map(Head::Class),
        word("group").ignore_then(numbers()).map(Head::Group),
        word("pin").ignore_then(numbers()).map(Head::Pin),
    ));
    let clause = choice((
        word("serve").ignore_then(word("in")).ignore_then(names()).map(Bound::Serve),
        word("keep").ignore_then(word("in")).ignore_then(names()).map(Bound::Keep),
        word("fill").ignore_then(word("from")).ignore_then(names()).map(Bound::Fill),
        word("only").ignore_then(word("in")).ignore_then(name()).map(Bound::Only),
        word("prefer").ignore_then(names()).map(Bound::Prefer),
        word("width").ignore_then(number()).map(Bound::Width),
        word("else").ignore_then(word("any")).map(|()| Bound::Else),
    ));
    let first = word("home").map_with(|(), e| sp((), e).at);
    let heads = head.map_with(sp).repeated().collect();
    first.then(heads).then(body(clause)).map(|((at, heads), clauses)| Item::Home(at, heads, clauses))
}

fn gather<'a, I: ValueInput<'a, Token = Token<'a>, Span = SimpleSpan>>(
) -> impl Parser<'a, I, Item, Fails<'a>> + Clone {
    let of = choice((
        word("of").ignore_then(word("parts")).to(Share::Parts),
        word("of").ignore_then(word("worth")).to(Share::Worth),
    ));
    let share = number().map_with(sp).then_ignore(just(Token::Percent)).then(of.map_with(sp));
    let shares = share.separated_by(just(Token::Comma)).at_least(1).collect();
    let missing = choice((
        word("owed").to(Missing::Owed),
        word("dropped").to(Missing::Dropped),
        word("refused").to(Missing::Refused),
    ));
    let yes = choice((word("yes").to(true), word("no").to(false)));
    let clause = choice((
        word("needs").ignore_then(numbers()).map(Wait::Needs),
        word("at").ignore_then(word("least")).ignore_then(shares).map(Wait::Least),
        word("wait").ignore_then(number()).then_ignore(word("ms")).map(Wait::Longest),
        word("missing").ignore_then(missing).map(Wait::Missing),
        word("second").ignore_then(word("copies")).ignore_then(yes).map(Wait::Second),
    ));
    let first = word("gather").map_with(|(), e| sp((), e).at);
    first
        .then_ignore(word("class"))
        .then(names())
        .then(body(clause))
        .map(|((at, classes), clauses)| Item::Gather(at, classes, clauses))
}

fn item<'a, I: ValueInput<'a, Token = Token<'a>, Span = SimpleSpan>>(
) -> impl Parser<'a, I, Item, Fails<'a>> + Clone {
    let part = choice((
        word("branch").to(Part::Branch),
        word("machine").to(Part::Machine),
        word("zone").to(Part::Zone),
    ));
    let parts = part.map_with(sp).then(names()).repeated().collect();
    let domain = word("domain")
        .ignore_then(name())
        .then(parts.delimited_by(just(Token::Open), just(Token::Close)))
        .map(|(name, parts)| Item::Domain(name, parts));
    let of = choice((
        word("routers").to(Of::Routers),
        word("caches").to(Of::Caches),
        word("parents").to(Of::Parents),
    ));
    let set = word("set")
        .ignore_then(name())
        .then_ignore(just(Token::Equal))
        .then(of.map_with(sp))
        .then(word("where").ignore_then(condition()).or_not())
        .map(|((name, of), cond)| Item::Set(name, of, cond));
    let here = |w: &'static str| word(w).map_with(|(), e| sp((), e).at);
    let holds = here("holds").then(body(keep())).map(|(at, clauses)| Item::Holds(at, clauses));
    let root = here("root").then(body(keep())).map(|(at, clauses)| Item::Root(at, clauses));
    let thing = choice((
        word("router").to(Thing::Router),
        word("machine").to(Thing::Machine),
        word("branch").to(Thing::Branch),
        word("set").to(Thing::Set),
    ));
    let things = thing.map_with(sp).then(name()).separated_by(just(Token::Comma)).at_least(1).collect();
    let apart = here("never")
        .then_ignore(word("together"))
        .then(things)
        .map(|(at, things): (At, Vec<_>)| Item::Apart(at, things));
    choice((domain, set, holds, root, home(), apart, gather()))
}

fn rules<'a, I: ValueInput<'a, Token = Token<'a>, Span = SimpleSpan>>(
) -> impl Parser<'a, I, Vec<Item>, Fails<'a>> {
    let first = select! { Token::Word(w) if FIRST.contains(&w) => () };
    let rest = any().and_is(first.not()).repeated();
    let lost = any().then(rest).to(Item::Lost);
    item().recover_with(via_parser(lost)).repeated().collect().then_ignore(end())
}

/// A fault of the grammar in words: what stands there, what may, and what was perhaps meant.
fn in_words(file: usize, error: &Rich<'_, Token<'_>>) -> Found {
    let place = at(file, *error.span());
    let (expected, stands) = match error.reason() {
        RichReason::ExpectedFound { expected, found } => (expected.as_slice(), found.as_ref().map(|t| **t)),
        RichReason::Custom(message) => return found(place, message.clone(), "here"),
    };
    let mut words = Vec::new();
    let mut wanted: Vec<String> = Vec::new();
    for pattern in expected {
        match pattern {
            RichPattern::Token(token) => {
                if let Token::Word(word) = **token {
                    words.push(word);
                }
                wanted.push(token.to_string());
            }
            RichPattern::Label(label) => wanted.push(label.to_string()),
            RichPattern::Identifier(word) => wanted.push(word.clone()),
            RichPattern::EndOfInput => wanted.push("the end of the file".into()),
            RichPattern::Any | RichPattern::SomethingElse => words.extend(FIRST),
        }
    }
    if wanted.is_empty() {
        wanted.extend(words.iter().map(|w| format!("`{w}`")));
    }
    wanted.sort_unstable();
    wanted.dedup();
    let what = stands.map_or_else(|| "the end of the file".to_string(), |t| t.to_string());
    let guess = match stands {
        Some(Token::Word(word)) => meant(word, words.iter().copied()),
        Some(_) | None => None,
    };
    found(place, format!("expected {}, found {what}", wanted.join(", ")), "not expected here").maybe(guess)
}

/// The rules of a file, and the faults of its words and grammar.
pub(crate) fn parse(file: usize, text: &str) -> (Vec<Item>, Vec<Found>) {
    let (tokens, mut faults) = tokens(file, text);
    if !faults.is_empty() {
        return (Vec::new(), faults);
    }
    let tokens: Vec<(Token<'_>, SimpleSpan)> = tokens.into_iter().map(|(t, s)| (t, s.into())).collect();
    let end: SimpleSpan = (text.len()..text.len()).into();
    let mut state = extra::SimpleState(file);
    let input = tokens.as_slice().map(end, |(t, s)| (t, s));
    let (items, errors) = rules().parse_with_state(input, &mut state).into_output_errors();
    faults.extend(errors.iter().map(|e| in_words(file, e)));
    (items.unwrap_or_default(), faults)
}
