//! Times and bounds of an overlay.

use crate::OverlayError;
use basaltgw_types::Ms;

/// Whoever returns has links, has compared and has fetched after this, ms: words are given for so much longer than they take to settle, or what
/// had not settled as it returned would be gone as it asks.
pub const CATCH_UP_MS: Ms = 4_000.0;

/// Times and bounds of an overlay.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Links that a router takes from others; who dials beyond is refused.
    pub most_children: usize,
    /// The same for a control machine, which two of each region's relays want.
    pub most_control_children: usize,
    /// Of those, how many get words at once; the others are told of them and fetch.
    pub most_eager: usize,
    /// A dial that has not come up within this has failed, ms.
    pub dial_ms: Ms,
    /// After a failed dial or a lost link the router isn't dialled for so long; twice as long after each further one, ms.
    pub backoff_ms: Ms,
    /// The longest of those, ms.
    pub most_backoff_ms: Ms,
    /// After a refusal of a link it isn't asked for so long, ms.
    pub refused_ms: Ms,
    /// After a refusal of words at once it isn't asked for them for so long, ms.
    pub not_eager_ms: Ms,
    /// A link that has stood so long was no failure, ms.
    pub stable_ms: Ms,
    /// A link on which nothing came for so long is closed; more than two comparisons, ms.
    pub silent_ms: Ms,
    /// How long words wait at each router, so that they go in batches, ms.
    pub batch_ms: Ms,
    /// The same between control machines, each of which has links with all others, ms.
    pub peer_batch_ms: Ms,
    /// How often lazy links are told what is new, ms.
    pub announce_ms: Ms,
    /// What was announced and has not come within this is fetched, ms. A few batches: ways of different length are the rule.
    pub late_ms: Ms,
    /// A fetch that brought nothing in this time goes to another, ms.
    pub fetch_ms: Ms,
    /// How often each link is sent a digest, ms.
    pub compare_ms: Ms,
    /// Streams that changed within this are named in a digest; all others go into its hash, ms.
    pub hot_ms: Ms,
    /// How many are named at most.
    pub most_hot: usize,
    /// Streams that are named at a time when vectors are compared.
    pub page: usize,
    /// How long words are kept for those who fetch, ms.
    pub keep_ms: Ms,
    /// What came longer ago than this has settled: whoever lacks it is told so and not given it, ms. See [`CATCH_UP_MS`].
    pub settle_ms: Ms,
    /// A stream in which nothing was said for so long is forgotten, ms.
    pub forget_ms: Ms,
    /// Bytes of kept words; beyond, the oldest go.
    pub most_log_bytes: usize,
    /// Streams that are known at most.
    pub most_streams: usize,
    /// Streams that are being fetched at most.
    pub most_missing: usize,
    /// The longest word, bytes.
    pub most_word: usize,
    /// The longest frame, bytes.
    pub most_frame: usize,
    /// Control machines wait so long for the one that is to say what all know, ms: more than a word takes between them.
    pub hold_ms: Ms,
    /// A relay asks above whether a word is known that has not come for so long, ms; each tier half a batch sooner.
    pub ask_ms: Ms,
    /// Whoever was asked and has not answered is asked once more, ms.
    pub again_ms: Ms,
    /// Words that wait for another to say them.
    pub most_held: usize,
    /// Bytes a second, those that come and those that go, with what frames cost on the wire.
    pub budget_bytes_per_s: f64,
    /// What may be sent at once after a quiet time, bytes.
    pub burst_bytes: f64,
    /// What a frame costs on the wire besides its bytes: headers, the record layer, the acknowledgement.
    pub frame_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            most_children: 8,
            most_control_children: 10,
            most_eager: 3,
            dial_ms: 3000.0,
            backoff_ms: 1000.0,
            most_backoff_ms: 60_000.0,
            refused_ms: 30_000.0,
            not_eager_ms: 300_000.0,
            stable_ms: 10_000.0,
            silent_ms: 4000.0,
            batch_ms: 250.0,
            peer_batch_ms: 500.0,
            announce_ms: 1000.0,
            late_ms: 1000.0,
            fetch_ms: 1500.0,
            compare_ms: 1000.0,
            hot_ms: 3000.0,
            most_hot: 48,
            page: 256,
            keep_ms: 120_000.0,
            settle_ms: 120_000.0,
            forget_ms: 600_000.0,
            most_log_bytes: 4 << 20,
            most_streams: 20_000,
            most_missing: 1024,
            most_word: 16 << 10,
            most_frame: 64 << 10,
            hold_ms: 750.0,
            ask_ms: 1500.0,
            again_ms: 10_000.0,
            most_held: 16_384,
            budget_bytes_per_s: 20_000.0,
            burst_bytes: 40_000.0,
            frame_bytes: 100,
        }
    }
}

/// No time is longer: a day.
const MOST_MS: Ms = 86_400_000.0;

impl Settings {
    /// What is the matter with them, if anything.
    pub(crate) fn fault(&self) -> Result<(), OverlayError> {
        let times = [
            (self.dial_ms, "dial_ms"),
            (self.backoff_ms, "backoff_ms"),
            (self.most_backoff_ms, "most_backoff_ms"),
            (self.refused_ms, "refused_ms"),
            (self.stable_ms, "stable_ms"),
            (self.not_eager_ms, "not_eager_ms"),
            (self.peer_batch_ms, "peer_batch_ms"),
            (self.silent_ms, "silent_ms"),
            (self.batch_ms, "batch_ms"),
            (self.announce_ms, "announce_ms"),
            (self.late_ms, "late_ms"),
            (self.fetch_ms, "fetch_ms"),
            (self.compare_ms, "compare_ms"),
            (self.hot_ms, "hot_ms"),
            (self.keep_ms, "keep_ms"),
            (self.settle_ms, "settle_ms"),
            (self.forget_ms, "forget_ms"),
            (self.hold_ms, "hold_ms"),
            (self.ask_ms, "ask_ms"),
            (self.again_ms, "again_ms"),
        ];
        let bad_time = times.into_iter().find(|(ms, _)| !(*ms > 0.0 && *ms <= MOST_MS));
        if let Some((_, name)) = bad_time {
            return Err(OverlayError::Setting(name, "more than 0 and at most a day in ms"));
        }
        let checks = [
            (self.most_eager > 0, "most_eager", "1 or more"),
            (self.most_children >= self.most_eager, "most_children", "most_eager or more"),
            (self.most_control_children > 0, "most_control_children", "1 or more"),
            (self.most_backoff_ms >= self.backoff_ms, "most_backoff_ms", "backoff_ms or more"),
            (self.silent_ms > 2.0 * self.compare_ms, "silent_ms", "more than two of compare_ms"),
            (self.batch_ms <= self.compare_ms, "batch_ms", "at most compare_ms"),
            (self.hold_ms > self.peer_batch_ms, "hold_ms", "more than peer_batch_ms"),
            (self.forget_ms > 2.0 * self.keep_ms, "forget_ms", "more than two of keep_ms"),
            ((1..=256).contains(&self.most_hot), "most_hot", "1 to 256"),
            ((1..=512).contains(&self.page), "page", "1 to 512"),
            (self.most_streams > 0, "most_streams", "1 or more"),
            (self.most_missing > 0, "most_missing", "1 or more"),
            ((1..=65_536).contains(&self.most_word), "most_word", "1 to 65,536 bytes"),
            (self.most_log_bytes >= self.most_word, "most_log_bytes", "most_word or more"),
            // Room for a word, a page and a digest in one frame.
            (self.most_frame >= self.most_word + 40_960, "most_frame", "most_word and 40,960 or more"),
            (self.most_held > 0, "most_held", "1 or more"),
            (self.budget_bytes_per_s >= 1000.0, "budget_bytes_per_s", "1,000 or more"),
            (self.burst_bytes >= self.most_word as f64, "burst_bytes", "most_word or more"),
            (self.frame_bytes <= 1500, "frame_bytes", "at most 1,500"),
        ];
        let first = checks.into_iter().find(|(fits, _, _)| !fits);
        first.map_or(Ok(()), |(_, name, expected)| Err(OverlayError::Setting(name, expected)))
    }
}
