//! What the owners of two routers say to each other of parts of gathers, and what an owner needs for them from the fleet's other threads.

use super::port::Fleet;
use super::purges::Purge;
use super::ControlRequest;
use crate::limits::{COPY_TAG, LONGEST_WAIT_MS, MOST_GROUP, MOST_KB, MOST_PART};
use basaltgw::api::Class;
pub use basaltgw_control::Policies;
use basaltgw_membership as roster;
use basaltgw_registers::{Change, RecordKey};
use basaltgw_scatter_gather::Evidence;
use basaltgw_transport::{Lane, LinkCommand, LinkEvent};
use basaltgw_types::{Member, Ms, MAX_NAME_BYTES};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Purges told with a part: the latest of its object and of its group.
const MOST_TOLD: usize = 2;
/// Hex digits of an object.
const OBJECT_DIGITS: usize = 16;

/// What an owner needs to take gathers.
pub struct GatherSet {
    /// The own branch.
    pub branch: Arc<str>,
    /// All branches of the fleet.
    pub branches: BTreeSet<Arc<str>>,
    /// Random.
    pub draw: u128,
    /// Time after which a purge has settled.
    pub settles: Ms,
    /// The classes, by their place.
    pub classes: Vec<Class>,
}

/// A part that another router's caches are to give.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Want {
    /// The asker's number for it.
    pub no: u64,
    /// The class.
    pub class: Arc<str>,
    /// The object, in hex as the client wrote it.
    pub object: Arc<str>,
    /// The part.
    pub part: u64,
    /// The object's group.
    pub group: u64,
    /// The part's size in KB; 0 if not told.
    pub size_kb: f64,
    /// Time left, in milliseconds.
    pub left: Ms,
}

/// What came of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Brought {
    /// All its bytes.
    Bytes {
        /// Of which version of the object.
        version: Arc<str>,
        /// When the archive gave that out, in Unix milliseconds of the archive.
        born: u64,
        /// They.
        body: Vec<u8>,
    },
    /// It never ran; time to stay away, in milliseconds.
    Refused(Ms),
    /// It failed.
    Failed,
}

/// A message on the lane of gathers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// A part is wanted. Answered once by [`Word::Have`], unless it is called off.
    Want(Want),
    /// The answer.
    Have {
        /// The asker's number.
        no: u64,
        /// How long it took, in milliseconds.
        took: Ms,
        /// Purges that concern the object and have not settled.
        purges: Vec<Purge>,
        /// What came of it.
        what: Brought,
    },
    /// It is not wanted any more.
    Never {
        /// The asker's number.
        no: u64,
    },
}

impl Word {
    /// Its bytes.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads one; `None` if it is none, out of bounds, or has bytes left over.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        let (word, rest) = postcard::take_from_bytes::<Self>(bytes).ok()?;
        let span = |t: Ms| (0.0..=LONGEST_WAIT_MS).contains(&t);
        let fits = match &word {
            Self::Want(w) => {
                let object =
                    w.object.len() == OBJECT_DIGITS && w.object.bytes().all(|b| b.is_ascii_hexdigit());
                let numbers =
                    w.part <= MOST_PART && w.group <= MOST_GROUP && (0.0..=MOST_KB).contains(&w.size_kb);
                object && numbers && w.class.len() <= MAX_NAME_BYTES && span(w.left)
            }
            Self::Have { took, purges, what, .. } => {
                let what = match what {
                    Brought::Bytes { version, .. } => (1..=COPY_TAG).contains(&version.len()),
                    Brought::Refused(back) => span(*back),
                    Brought::Failed => true,
                };
                what && span(*took) && purges.len() <= MOST_TOLD
            }
            Self::Never { .. } => true,
        };
        (rest.is_empty() && fits).then_some(word)
    }
}

impl Fleet {
    /// Says something to another router; false if there is no room.
    pub fn say(&mut self, no: u64, to: &Member, word: &Word) -> bool {
        let order =
            LinkCommand::Send { number: no, to: to.clone(), lane: Lane::ScatterGather, body: word.bytes() };
        self.port.send(order).is_ok()
    }

    /// The next that the links have told.
    pub fn from_peers(&mut self) -> Option<LinkEvent> {
        self.port.next()
    }

    /// Passes on what is heard of a site. It is advisory: where there is no room it is dropped, and counted.
    pub fn heard(&mut self, word: Evidence) {
        let Evidence { site, missed, answered, latency, age } = word;
        self.put(ControlRequest::ReportEvidence(roster::Evidence {
            site: site.0,
            missed,
            answered,
            latency,
            age,
        }));
    }

    /// Has a change of a hold put down, however long it takes; nobody waits.
    pub fn pursue(&mut self, key: RecordKey, change: Change) {
        self.put_later(ControlRequest::ChangeInBackground(key, change));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn want() -> Want {
        let (class, object) = ("pages".into(), "00000000000000ab".into());
        Want { no: 7, class, object, part: 3, group: 17, size_kb: 0.0, left: 100.0 }
    }

    #[test]
    fn words_come_back_as_they_went_and_what_is_out_of_bounds_does_not() {
        let have = |version: &str| Word::Have {
            no: 7,
            took: 1.5,
            purges: vec![Purge { group: 1, object: None, time: 5 }],
            what: Brought::Bytes { version: version.into(), born: 9, body: vec![1, 2] },
        };
        for word in [Word::Want(want()), have("v1"), Word::Never { no: 7 }] {
            assert_eq!(Word::read(&word.bytes()), Some(word));
        }
        for left in [f64::NAN, -1.0, LONGEST_WAIT_MS * 2.0] {
            assert_eq!(Word::read(&Word::Want(Want { left, ..want() }).bytes()), None);
        }
        assert_eq!(Word::read(&Word::Want(Want { object: "x".into(), ..want() }).bytes()), None);
        assert_eq!(Word::read(&have(&"v".repeat(COPY_TAG + 1)).bytes()), None);
    }

    proptest! {
        #[test]
        fn any_bytes_are_a_word_or_none(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
            if let Some(word) = Word::read(&bytes) {
                prop_assert_eq!(Word::read(&word.bytes()), Some(word));
            }
        }
    }
}
