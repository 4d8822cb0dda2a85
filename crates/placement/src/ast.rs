//! Syntax tree of placement rules. The parser maps each keyword of the rules' language to one variant.

use crate::diagnostic::SourceSpan;

/// A node with its position in the text.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Spanned<T> {
    pub node: T,
    pub span: SourceSpan,
}

pub(crate) type Name = Spanned<String>;

/// A rule, with the position of its keyword.
#[derive(Clone, Debug)]
pub(crate) enum Rule {
    Domain {
        name: Name,
        parts: Vec<(Spanned<DomainPart>, Vec<Name>)>,
    },
    Set {
        name: Name,
        kind: Spanned<EntryKind>,
        condition: Option<Condition>,
    },
    Holds {
        span: SourceSpan,
        clauses: Vec<Spanned<ReplicaClause>>,
    },
    Root {
        span: SourceSpan,
        clauses: Vec<Spanned<ReplicaClause>>,
    },
    Home {
        span: SourceSpan,
        selectors: Vec<Spanned<HomeSelector>>,
        clauses: Vec<Spanned<HomeClause>>,
    },
    NeverTogether {
        span: SourceSpan,
        operands: Vec<(Spanned<OperandKind>, Name)>,
    },
    Gather {
        span: SourceSpan,
        classes: Vec<Name>,
        clauses: Vec<Spanned<GatherClause>>,
    },
    /// Text that could not be parsed; a diagnostic reports it.
    Unparsed,
}

/// What the names of a domain's part stand for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DomainPart {
    Branch,
    Machine,
    Zone,
}

/// Which entries of the inventory a set selects from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EntryKind {
    Routers,
    Caches,
    Parents,
}

impl EntryKind {
    /// The word for one entry in messages.
    pub fn singular(self) -> &'static str {
        match self {
            EntryKind::Routers => "router",
            EntryKind::Caches => "cache",
            EntryKind::Parents => "parent",
        }
    }
}

/// What an operand of `never together` names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OperandKind {
    Router,
    Machine,
    Branch,
    Set,
}

/// A condition on an entry of the inventory.
#[derive(Clone, Debug)]
pub(crate) enum Condition {
    Or(Vec<Condition>),
    And(Vec<Condition>),
    Not(Box<Condition>),
    /// The attribute has one of these values.
    Is {
        attribute: Name,
        values: Vec<Name>,
    },
    /// The attribute compared with a number.
    Compare {
        attribute: Name,
        comparison: Comparison,
        number: u64,
    },
    /// The entry is in a set or domain.
    In(Name),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Comparison {
    Equal,
    AtLeast,
    AtMost,
    Above,
    Below,
}

/// A clause of `holds` or `root`.
#[derive(Clone, Debug)]
pub(crate) enum ReplicaClause {
    Shards(u64),
    Copies(u64),
    Spread {
        over: Spread,
        at_most: Option<u64>,
    },
    From(Vec<Name>),
    Prefer(Vec<Name>),
    /// Registers per shard that a router needs capacity for.
    Room(u64),
    /// Shards that move per step.
    Pace(u64),
}

/// Failure domains that the copies of a shard are spread over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Spread {
    Branches,
    Machines,
}

/// Which objects a home applies to.
#[derive(Clone, Debug)]
pub(crate) enum HomeSelector {
    Class(Vec<Name>),
    Group(Vec<Spanned<u64>>),
    Pin(Vec<Spanned<u64>>),
}

/// A clause of a home.
#[derive(Clone, Debug)]
pub(crate) enum HomeClause {
    Serve(Vec<Name>),
    Keep(Vec<Name>),
    Fill(Vec<Name>),
    Only(Name),
    Prefer(Vec<Name>),
    Width(u64),
    ElseAny,
}

/// A clause of `gather`.
#[derive(Clone, Debug)]
pub(crate) enum GatherClause {
    Needs(Vec<Spanned<u64>>),
    /// Percentages.
    AtLeast(Vec<(Spanned<u64>, Spanned<ShareOf>)>),
    WaitMs(u64),
    MissingParts(MissingParts),
    Hedging(bool),
}

/// What a percentage refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShareOf {
    Parts,
    Weight,
}

/// How a partial response handles missing parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum MissingParts {
    /// Keyword `owed`: the response names them and when to retry, and a continuation is stored for them.
    Continuation,
    /// Keyword `dropped`: the response names them, without a continuation.
    Omitted,
    /// Keyword `refused`: there is no response without them.
    NotAllowed,
}
