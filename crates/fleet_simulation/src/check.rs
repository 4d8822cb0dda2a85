//! What must hold of every word: it gets to each router that is there and reached, in time, and no process says it twice as new.

use crate::changes::{Changed, Changes};
use crate::party::Word;
use crate::{Micros, No};
use fixedbitset::FixedBitSet;

/// One purge on its way.
#[derive(Clone, Debug)]
struct Known {
    made: Micros,
    /// Who has it, in any life.
    by: FixedBitSet,
    /// The longest that anybody waited for it, of those who have it.
    longest: Micros,
}

/// One router, as far as words are concerned.
#[derive(Clone, Debug, Default)]
struct Reader {
    /// Since when its process runs and nothing stands between it and others; none while that is not so.
    clear: Option<Micros>,
    /// What this life of its process was told as new, or heard itself.
    told: FixedBitSet,
}

/// What came of a run's words.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Findings {
    /// Words made.
    pub words: usize,
    /// Words, and routers each, that were never told although the router was there and reached for long enough.
    pub lost: Vec<(usize, No)>,
    /// The same, but the router was only there and reached again when the word had settled: nobody has to know it any more.
    pub settled: usize,
    /// Times that a life of a process was told as new what it had heard.
    pub twice: usize,
    /// Of these, when the word had been made so long ago that it is everywhere.
    pub twice_old: usize,
    /// Times that a word came later than it may, counted from when it was made, or the router was there and reached again.
    pub late: usize,
    /// Of these, when the router was only there and reached again once the word had settled.
    pub late_settled: usize,
    /// Milliseconds until the last router had each word; words that some never got are not among them.
    pub everywhere: Vec<f64>,
    /// Words that were told and never made.
    pub unknown: usize,
    /// Changes of the configuration.
    pub changes: Changed,
}

/// See the module.
#[derive(Clone, Debug)]
pub struct Checker {
    /// What is later is late.
    within: Micros,
    words: Vec<Known>,
    readers: Vec<Reader>,
    twice: usize,
    twice_old: usize,
    late: usize,
    late_settled: usize,
    unknown: usize,
    changes: Changes,
}

impl Checker {
    /// Of so many routers; words are to be everywhere within that time.
    pub fn new(routers: usize, within: Micros) -> Self {
        let readers = vec![Reader::default(); routers];
        Self {
            within,
            words: Vec::new(),
            readers,
            twice: 0,
            twice_old: 0,
            late: 0,
            late_settled: 0,
            unknown: 0,
            changes: Changes::new(routers),
        }
    }

    /// A word is made, the next number's.
    pub fn made(&mut self, at: Micros) {
        let by = FixedBitSet::with_capacity(self.readers.len());
        self.words.push(Known { made: at, by, longest: 0 });
    }

    /// A router's process begins a new life: what an earlier one was told is news to it.
    pub fn life(&mut self, no: No) {
        self.readers[no].told.clear();
    }

    /// A router is there and reached from now on.
    pub fn clear(&mut self, at: Micros, no: No) {
        self.readers[no].clear = Some(at);
    }

    /// It is not any more.
    pub fn unclear(&mut self, no: No) {
        self.readers[no].clear = None;
    }

    /// A router heard a word from the change log itself.
    pub fn heard(&mut self, at: Micros, no: No, word: usize) {
        self.has(at, no, word);
        let told = &mut self.readers[no].told;
        told.grow(word + 1);
        told.insert(word);
    }

    /// A router was told something as new.
    pub fn told(&mut self, at: Micros, no: No, word: &Word) {
        let purge = match word {
            Word::Purge(purge) => purge,
            Word::PurgesKnown(_) | Word::Table(..) | Word::Other => return,
            Word::ChangeMade => return self.changes.made(at),
            Word::Change(change) => return self.changes.goes_by(at, no, *change),
        };
        // A whole group's stands for many of its objects'; it is not one that was made.
        let Some(number) = purge.object else { return };
        let number = number as usize;
        if number >= self.words.len() {
            self.unknown += 1;
            return;
        }
        let told = &mut self.readers[no].told;
        told.grow(number + 1);
        if told.put(number) {
            self.twice += 1;
            let made = self.words.get(number).map_or(at, |w| w.made);
            self.twice_old += usize::from(at >= made + self.within);
        }
        self.has(at, no, number);
    }

    fn has(&mut self, at: Micros, no: No, word: usize) {
        let Some(known) = self.words.get_mut(word) else { return };
        if known.by.put(no) {
            return;
        }
        let Some(clear) = self.readers[no].clear else { return };
        let waited = at.saturating_sub(known.made.max(clear));
        known.longest = known.longest.max(waited);
        let late = waited > self.within;
        self.late += usize::from(late);
        self.late_settled += usize::from(late && clear >= known.made + self.within);
    }

    /// What is to be said at the end.
    pub fn findings(&self, end: Micros) -> Findings {
        let (mut lost, mut settled) = (Vec::new(), 0);
        let mut everywhere = Vec::new();
        for (number, word) in self.words.iter().enumerate() {
            let mut whole = word.made + self.within <= end;
            for (no, reader) in self.readers.iter().enumerate().filter(|(no, _)| !word.by.contains(*no)) {
                match reader.clear {
                    Some(clear) if clear >= word.made + self.within => settled += 1,
                    Some(clear) if clear.max(word.made) + self.within <= end => {
                        lost.push((number, no));
                        whole = false;
                    }
                    // Not there, or not for long enough yet.
                    Some(_) | None => {}
                }
            }
            if whole {
                everywhere.push(crate::ms(word.longest));
            }
        }
        everywhere.sort_by(f64::total_cmp);
        let Self { twice, twice_old, late, late_settled, unknown, .. } = *self;
        Findings {
            words: self.words.len(),
            lost,
            settled,
            twice,
            twice_old,
            late,
            late_settled,
            everywhere,
            unknown,
            changes: self.changes.changed(),
        }
    }
}
