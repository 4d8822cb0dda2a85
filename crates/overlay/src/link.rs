//! One link, and what is known of the other end.

use crate::streams::StreamId;
use crate::wire::{Names, Part, MOST_HASHES};
use basaltgw_types::{Member, Ms};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What the other end is to this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// Above: this router dialled it.
    Parent,
    /// Below: it dialled.
    Child,
    /// Both are control machines.
    Peer,
}

/// Where the other end stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stand {
    Control,
    Relay,
    Tier,
}

/// Words that the other end has asked for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Asked {
    pub stream: StreamId,
    pub from: u64,
    pub to: u64,
    pub filling: bool,
}

/// What the other end had at a time; once all of it is had here too, this router was as far as that.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub at: Ms,
    pub age: Option<Ms>,
    pub hot: Vec<(StreamId, u64)>,
}

#[derive(Clone, Debug)]
pub(crate) struct Link {
    pub member: Member,
    pub role: Role,
    pub stand: Stand,
    /// Whether the other end is in another region, or a control machine.
    pub outside: bool,
    pub up_at: Ms,
    pub heard: Ms,
    /// Whether words go there at once.
    pub push: bool,
    /// Until when it isn't asked for words at once.
    pub not_eager_until: Ms,
    /// Up to which number the other end has a stream, or has been sent it.
    pub knows: BTreeMap<StreamId, u64>,
    /// Streams with words that are to go there, or to be named there.
    pub dirty: BTreeSet<StreamId>,
    /// What goes with the next frame.
    pub parts: Vec<Part>,
    pub asked: VecDeque<Asked>,
    /// How streams are called on it.
    pub names: Names,
    /// By which it knows words that it is asked about.
    pub key: Option<u64>,
    /// Words that it asked about and that are not known here, or had; to be answered with the next frame.
    pub unknown: Vec<[u8; 4]>,
    /// See `unknown`.
    pub known: Vec<[u8; 8]>,
    /// When words may go, between peers.
    pub words_at: Ms,
    pub news_at: Ms,
    pub digest_at: Ms,
    /// Digests in a row that differed.
    pub differ: u8,
    pub target: Option<Target>,
    /// When this router was last as far as the other end, and how old that was.
    pub compared: Option<(Ms, Option<Ms>)>,
}

/// Spans that one end may have asked for, and parts that wait for a frame.
const MOST_WAITING: usize = 128;

impl Link {
    pub fn new(now: Ms, member: Member, role: Role, stand: Stand, outside: bool) -> Self {
        Self {
            member,
            role,
            stand,
            outside,
            up_at: now,
            heard: now,
            push: role == Role::Peer,
            not_eager_until: 0.0,
            knows: BTreeMap::new(),
            dirty: BTreeSet::new(),
            parts: Vec::new(),
            asked: VecDeque::new(),
            names: Names::default(),
            key: None,
            unknown: Vec::new(),
            known: Vec::new(),
            words_at: now,
            news_at: now,
            digest_at: now,
            differ: 0,
            target: None,
            compared: None,
        }
    }

    /// Puts a part into the next frame; a newer one of its kind takes the place of the older, where one says all. False if there is no room.
    pub fn say(&mut self, part: Part) -> bool {
        let single = match &part {
            Part::News(_)
            | Part::Digest(_)
            | Part::Buckets { .. }
            | Part::Vector(_)
            | Part::Want { .. }
            | Part::NotEager
            | Part::Key(_)
            | Part::Full => true,
            Part::Words { .. }
            | Part::Fetch { .. }
            | Part::Gone { .. }
            | Part::Ask(_)
            | Part::AskWhole(_)
            | Part::Unknown(_)
            | Part::Known(_)
            | Part::Hear { .. } => false,
        };
        if single {
            self.parts.retain(|p| std::mem::discriminant(p) != std::mem::discriminant(&part));
        }
        let room = self.parts.len() < MOST_WAITING;
        if room {
            self.parts.push(part);
        }
        room
    }

    /// Puts the answers to what the other end asked into the next frame.
    pub fn answer(&mut self) {
        let (unknown, known) = (std::mem::take(&mut self.unknown), std::mem::take(&mut self.known));
        if !unknown.is_empty() {
            self.say(Part::Unknown(unknown));
        }
        if !known.is_empty() {
            self.say(Part::Known(known));
        }
    }

    /// Notes that the other end asks for words; false if it has as many spans waiting as may be.
    pub fn ask(&mut self, asked: Asked) -> bool {
        self.asked.retain(|a| a.stream != asked.stream);
        let room = self.asked.len() < MOST_WAITING;
        if room {
            self.asked.push_back(asked);
        }
        room
    }

    pub fn has(&mut self, stream: StreamId, upto: u64) {
        let knows = self.knows.entry(stream).or_insert(upto);
        *knows = upto.max(*knows);
    }
}

/// Adds as many hashes as one part may have; false if that is not all, and the rest is asked about again.
pub(crate) fn extend<T: Copy>(all: &mut Vec<T>, more: &[T]) -> bool {
    let room = MOST_HASHES.saturating_sub(all.len());
    all.extend(more.iter().take(room));
    more.len() <= room
}
