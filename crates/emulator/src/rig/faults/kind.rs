//! The kinds of faults, with their names in experiment files and figures.

use serde::Deserialize;

/// A kind of fault. Each affects a router, and some a second one or the link between the two.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The router is killed, and restarted.
    Kill,
    /// The router is killed and its durable data are deleted; it restarts without data.
    #[serde(rename = "wipe")]
    KillAndWipe,
    /// The router is killed, and restarts at another address for peers.
    #[serde(rename = "elsewhere")]
    ChangeAddress,
    /// The router is suspended, and resumed.
    #[serde(rename = "stop")]
    Suspend,
    /// Half of all routers are killed at the same time, and restarted.
    #[serde(rename = "half")]
    KillHalf,
    /// The router's disk is full.
    DiskFull,
    /// The router is partitioned from all others.
    #[serde(rename = "cut")]
    Partition,
    /// The direction from the router to the other one is cut.
    #[serde(rename = "one_way")]
    PartitionOneWay,
    /// The link to the other router discards all bytes.
    #[serde(rename = "hole")]
    BlackHole,
    /// The link to the other router is throttled to a few bytes at a time.
    #[serde(rename = "drip")]
    Throttle,
    /// The link to the other router is slow.
    #[serde(rename = "slow")]
    Delay,
    /// Chunks from the router to the other one are corrupted.
    #[serde(rename = "break")]
    Corrupt,
    /// Chunks from the router to the other one are delivered twice.
    #[serde(rename = "repeat")]
    Duplicate,
    /// The connections to the other router are reset.
    Reset,
    /// The router is the only one that receives a purge, and is lost with its disk; then all routers restart while the change log is down.
    #[serde(rename = "dark")]
    LosePurgeReceiver,
    /// The rules file is replaced, and all routers reload it.
    #[serde(rename = "rules")]
    ReplaceRules,
    /// The rules file is replaced, and only the router reloads it; all routers have to adopt the new table.
    #[serde(rename = "rules_one")]
    RulesAtOneRouter,
    /// Two operators change the rules at the same time: the router and the other one reload different rules.
    #[serde(rename = "rules_two")]
    ConflictingRules,
    /// The router proposes new rules while the other one is suspended, until the table is withdrawn.
    #[serde(rename = "rules_stuck")]
    RulesWhileSuspended,
    /// The router proposes new rules while the other one is partitioned from all, until the table is withdrawn.
    #[serde(rename = "rules_cut")]
    RulesWhilePartitioned,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [Self; 20] = [
        Self::Kill,
        Self::KillAndWipe,
        Self::ChangeAddress,
        Self::Suspend,
        Self::KillHalf,
        Self::DiskFull,
        Self::Partition,
        Self::PartitionOneWay,
        Self::BlackHole,
        Self::Throttle,
        Self::Delay,
        Self::Corrupt,
        Self::Duplicate,
        Self::Reset,
        Self::LosePurgeReceiver,
        Self::ReplaceRules,
        Self::RulesAtOneRouter,
        Self::ConflictingRules,
        Self::RulesWhileSuspended,
        Self::RulesWhilePartitioned,
    ];

    /// The kind's name in figures.
    pub fn name(self) -> &'static str {
        match self {
            Self::Kill => "kill",
            Self::KillAndWipe => "wipe",
            Self::ChangeAddress => "elsewhere",
            Self::Suspend => "stop",
            Self::KillHalf => "half",
            Self::DiskFull => "disk_full",
            Self::Partition => "cut",
            Self::PartitionOneWay => "one_way",
            Self::BlackHole => "hole",
            Self::Throttle => "drip",
            Self::Delay => "slow",
            Self::Corrupt => "break",
            Self::Duplicate => "repeat",
            Self::Reset => "reset",
            Self::LosePurgeReceiver => "dark",
            Self::ReplaceRules => "rules",
            Self::RulesAtOneRouter => "rules_one",
            Self::ConflictingRules => "rules_two",
            Self::RulesWhileSuspended => "rules_stuck",
            Self::RulesWhilePartitioned => "rules_cut",
        }
    }
}
