//! The nodes that a fill has passed, so that one that meets itself is refused.
//!
//! Compare RFC 8586 (CDN-Loop), section 2: each node adds itself and refuses what already names it. Here a trail is bounded, so
//! that a node without this rule cannot make a request grow for ever.

use crate::NodeId;
use std::fmt;
use thiserror::Error;

/// Nodes that a trail may hold: twice the tiers.
pub const MOST: usize = 16;
/// Bytes of a node's id within a trail.
const MOST_NAME: usize = 64;

/// Nodes in the order in which a fill passed them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Trail(Vec<NodeId>);

/// Why a fill goes no further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Looped {
    /// It has been here before.
    #[error("the fill has been here before")]
    Here,
    /// It has passed more nodes than any tree has tiers.
    #[error("the fill has passed {MOST} nodes")]
    Long,
}

impl Trail {
    /// A trail that this node has joined, or why it may not.
    pub fn through(&self, node: &NodeId) -> Result<Self, Looped> {
        if self.holds(node) {
            return Err(Looped::Here);
        }
        if self.0.len() >= MOST {
            return Err(Looped::Long);
        }
        let mut nodes = self.0.clone();
        nodes.push(node.clone());
        Ok(Self(nodes))
    }

    /// True if it has passed there.
    pub fn holds(&self, node: &NodeId) -> bool {
        self.0.contains(node)
    }

    /// The node that it passed last: the one that asks.
    pub fn last(&self) -> Option<&NodeId> {
        self.0.last()
    }

    /// The nodes, first to last.
    pub fn nodes(&self) -> &[NodeId] {
        &self.0
    }

    /// Reads a trail as it is written; `None` if it is none. The empty word is the empty trail.
    pub fn read(text: &str) -> Option<Self> {
        if text.is_empty() {
            return Some(Self::default());
        }
        if text.len() > MOST * (MOST_NAME + 1) {
            return None;
        }
        let mut trail = Self::default();
        for name in text.split('+') {
            let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
            if name.is_empty() || name.len() > MOST_NAME || !name.bytes().all(plain) {
                return None;
            }
            trail = trail.through(&NodeId::new(name)).ok()?;
        }
        Some(trail)
    }
}

impl fmt::Display for Trail {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, node) in self.0.iter().enumerate() {
            write!(f, "{}{}", if i > 0 { "+" } else { "" }, node.0)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
